package relay

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/record"
	"github.com/papayasail/papayasail/routing"
)

// droppedHeaders are not forwarded: hop-by-hop headers (RFC 9110, 7.6.1) and
// headers that the entry host consumes or sets itself.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", HeaderKey, backend.HeaderRequestID, backend.HeaderNotRun,
}

// Call serves /v1/services/{service}/call/{path}.
func (r *Relay) Call(w http.ResponseWriter, req *http.Request, service, path string) {
	answer := r.call(w, req, service, path)
	r.Metrics.countRequest(service, answer.Refusal)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.WriteTimeout))
	if answer.Refusal != nil {
		WriteRefusal(w, answer.Refusal)
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	if req.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		// Marks the end also for callers that do not support chunked encoding.
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // fails only if the caller disconnected
}

func (r *Relay) call(w http.ResponseWriter, req *http.Request, service, path string) record.Answer {
	organisation, document, refusal := r.authenticate(req, service)
	if refusal != nil {
		return record.Answer{Refusal: refusal}
	}
	if document.Kind != contract.KindPlain {
		return record.Answer{Refusal: contract.NotRun(contract.ReasonBadRequest, 0, "not a plain service").WithStatus(http.StatusBadRequest)}
	}
	body, refusal := r.readBody(w, req)
	if refusal != nil {
		return record.Answer{Refusal: refusal}
	}
	request := forwardRequest(req, organisation, service, path, body)
	if document.CallIdempotent(req.Method, path) {
		if !r.Accepting() {
			return record.Answer{Refusal: leavingRefusal()}
		}
		return r.tryCall(req.Context(), document, request, true)
	}
	parsed, refusal := requestKey(req)
	if refusal != nil {
		return record.Answer{Refusal: refusal}
	}
	if r.Closing() {
		return record.Answer{Refusal: closingRefusal()}
	}
	request.Key = parsed.String()
	ctx, stop := context.WithTimeout(req.Context(), document.Deadlines.Queue+document.Deadlines.Total)
	defer stop()
	return r.homeRouter.Run(ctx, parsed, request)
}

func forwardRequest(req *http.Request, organisation, service, path string, body []byte) *peerpb.ForwardRequest {
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	request := &peerpb.ForwardRequest{Organisation: organisation, Service: service, Method: req.Method, Path: path, Body: body}
	header := req.Header.Clone()
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	for name, values := range header {
		request.Headers = append(request.Headers, &peerpb.Header{Name: name, Values: values})
	}
	return request
}

// fingerprintOf returns a hash of a request's organisation, service, method,
// path and body. Headers are not part of it.
func fingerprintOf(request *peerpb.ForwardRequest) record.Fingerprint {
	hash := sha256.New()
	for _, field := range []string{request.GetOrganisation(), request.GetService(), request.GetMethod(), request.GetPath()} {
		hash.Write([]byte(field))
		hash.Write([]byte{0})
	}
	hash.Write(request.GetBody())
	return record.Fingerprint(hash.Sum(nil))
}

// tryCall runs a call on a backend server and retries it as long as a retry is
// safe, first on servers on which it has not failed.
func (r *Relay) tryCall(ctx context.Context, document *contract.Document, request *peerpb.ForwardRequest, idempotent bool) record.Answer {
	ctx, stop := context.WithTimeout(ctx, document.Deadlines.Queue+document.Deadlines.Total)
	defer stop()
	ctx, tries, end := r.newAttempts(ctx, document, request, "", idempotent)
	defer end()
	for {
		grant, err := r.acquire(ctx, tries, routing.Request{
			Service: document.Service, Organisation: request.GetOrganisation(),
			Deadline: time.Now().Add(document.Deadlines.Queue),
		})
		if err != nil {
			return record.Answer{Refusal: tries.adjustOutcome(tries.crashes.cancelled(ctx, asRefusal(err)))}
		}
		endTurn := tries.crashes.awaitTurn(ctx)
		tries.crashes.sending(grant.Address())
		answer, err := r.callServer(ctx, grant.Address(), document, request)
		r.OnBackend(grant.Address(), err)
		grant.Done(routing.Result{Failed: err != nil, NotRun: err != nil && provenNotRun(err), Complete: err == nil})
		if err == nil {
			tries.crashes.completed()
			endTurn()
			return record.Answer{Status: answer.Status, Header: answerHeader(answer.Header), Body: answer.Body}
		}
		tries.crashes.sendFailed(ctx, grant.Address(), err)
		endTurn()
		if !tries.awaitRetry(ctx, grant.Server(), err) {
			return record.Answer{Refusal: tries.finalRefusal(ctx, err)}
		}
		r.Metrics.retries.WithLabelValues(document.Service).Inc()
	}
}

func (r *Relay) callServer(ctx context.Context, address string, document *contract.Document, request *peerpb.ForwardRequest) (*backend.PlainAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, document.Deadlines.Total)
	defer stop()
	header := make(http.Header, len(request.GetHeaders()))
	for _, h := range request.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	path, query, _ := strings.Cut(request.GetPath(), "?")
	return r.Backend.Call(ctx, address, backend.PlainRequest{
		Method: request.GetMethod(), Path: path, RawQuery: query, Header: header, Body: request.GetBody(),
		RequestID: uuid.NewString(), Key: request.GetKey(),
	})
}

func answerHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range droppedHeaders {
		kept.Del(name)
	}
	return kept
}
