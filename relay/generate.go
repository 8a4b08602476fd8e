package relay

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// GenerateRequest is the body of a generation.
type GenerateRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// StopAfter is passed on to stand-in engines; see docs/ENGINE.md.
	StopAfter int `json:"x_stop_after,omitempty"`
}

// Generate serves POST /v1/services/{service}/generations.
func (r *Relay) Generate(w http.ResponseWriter, req *http.Request, service string) {
	out := newEventWriter(w, r.WriteTimeout)
	refusal := r.generate(w, req, service, out)
	r.Metrics.countRequest(service, refusal)
	if refusal != nil {
		_ = out.fail(refusal) // fails only if the caller disconnected
	}
}

func (r *Relay) generate(w http.ResponseWriter, req *http.Request, service string, out *eventWriter) *contract.Refusal {
	organisation, document, refusal := r.authenticate(req, service)
	if refusal != nil {
		return refusal
	}
	if document.Kind != contract.KindModel {
		return contract.NotRun(contract.ReasonBadRequest, 0, "not a model service").WithStatus(http.StatusBadRequest)
	}
	if last := req.Header.Get(HeaderLastEventID); last != "" {
		if !r.Accepting() { // the stream would be cut off when the host stops
			return leavingRefusal()
		}
		return r.resume(req.Context(), organisation, document, last, out)
	}
	body, refusal := r.readBody(w, req)
	if refusal != nil {
		return refusal
	}
	request, refusal := parseGenerate(body, document)
	if refusal != nil {
		return refusal
	}
	if !document.Model.Idempotent {
		return r.generateOnce(req, organisation, document, body, out)
	}
	if !r.Accepting() {
		return leavingRefusal()
	}
	return r.generateIdempotent(req.Context(), document, newGenerationRequest(organisation, document, body), request, out)
}

// newGenerationRequest returns a generation request in the form in which entry
// hosts forward it.
func newGenerationRequest(organisation string, document *contract.Document, body []byte) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{Organisation: organisation, Service: document.Service, Method: http.MethodPost, Body: body}
}

func parseGenerate(body []byte, document *contract.Document) (*GenerateRequest, *contract.Refusal) {
	var request GenerateRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, contract.NotRun(contract.ReasonBadRequest, 0, "the body is not a generation request: "+err.Error()).WithStatus(http.StatusBadRequest)
	}
	if request.MaxTokens < 0 || request.MaxTokens > document.Model.MaxTokens {
		return nil, contract.NotRun(contract.ReasonBadRequest, 0, "max_tokens is outside the service's limit").WithStatus(http.StatusBadRequest)
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = document.Model.MaxTokens
	}
	return &request, nil
}

// resume delivers a generation from the event after the caller's last one.
func (r *Relay) resume(ctx context.Context, organisation string, document *contract.Document, last string, out *eventWriter) *contract.Refusal {
	id, err := r.Signer.Parse(last)
	if err != nil || id.Organisation != organisation || id.Service != document.Service {
		return contract.NotRun(contract.ReasonEventIDInvalid, 0, ErrEventID.Error()).WithStatus(http.StatusBadRequest)
	}
	return r.attach(ctx, document, id, out)
}

// attach delivers a running or finished generation, starting at the offset of
// an event id.
func (r *Relay) attach(ctx context.Context, document *contract.Document, id EventID, out *eventWriter) *contract.Refusal {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	source := r.newStream(document, id.GenerationRef, id.Next)
	if err := source.connect(ctx); err != nil {
		return streamRefusal(err)
	}
	return r.deliver(ctx, stop, source, out, nil)
}

// generateOnce runs a non-idempotent generation at the home of its idempotency
// key and delivers it. Only the home may start it; any host can read it.
func (r *Relay) generateOnce(req *http.Request, organisation string, document *contract.Document, body []byte, out *eventWriter) *contract.Refusal {
	parsed, refusal := requestKey(req)
	if refusal != nil {
		return refusal
	}
	if r.Closing() {
		return closingRefusal()
	}
	ctx, stop := context.WithTimeout(req.Context(), document.Deadlines.Queue+document.Deadlines.FirstToken)
	defer stop()
	request := newGenerationRequest(organisation, document, body)
	request.Key = parsed.String()
	answer := r.homeRouter.Run(ctx, parsed, request)
	if answer.Refusal != nil {
		return answer.Refusal
	}
	id, err := r.Signer.Parse(answer.EventID)
	if err != nil {
		return contract.Unknown(contract.ReasonEventIDInvalid, 0, "the home answered with another event key").WithCause(err)
	}
	return r.attach(req.Context(), document, id, out)
}

// generateIdempotent starts a generation and delivers it. It may start the
// generation again, on another server if there is one, until a token has been read.
func (r *Relay) generateIdempotent(ctx context.Context, document *contract.Document, forward *peerpb.ForwardRequest, request *GenerateRequest, out *eventWriter) *contract.Refusal {
	ctx, tries, end := r.newAttempts(ctx, document, forward, request.Prompt, true)
	defer end()
	for {
		server, read, refusal := r.generateOnServer(ctx, forward.GetOrganisation(), document, request, tries, out)
		if refusal == nil || read > 0 || server == "" || ctx.Err() != nil {
			return refusal
		}
		if refusal.Err == nil || !tries.awaitRetry(ctx, server, refusal.Err) {
			return refusal
		}
	}
}

// generateOnServer starts a generation on one server and delivers it. It returns
// the server's name ("" if the generation was not started) and the offset of the
// next token, which is the number of tokens read.
func (r *Relay) generateOnServer(ctx context.Context, organisation string, document *contract.Document, request *GenerateRequest, tries *attempts, out *eventWriter) (string, int, *contract.Refusal) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	started, err := r.startGeneration(ctx, organisation, document, request, tries)
	if err != nil {
		return "", 0, asRefusal(err)
	}
	tries.mayHaveRun = true
	refusal := r.deliver(ctx, stop, started.stream, out, started)
	if refusal != nil {
		refusal = tries.adjustOutcome(tries.crashes.cancelled(ctx, refusal))
	}
	started.finish(refusal)
	switch {
	case refusal == nil:
		tries.crashes.completed()
	case refusal.Reason == contract.ReasonBackendFailed:
		tries.crashes.connectionBroke(started.stream.ref.Server)
	}
	if refusal != nil && started.stream.nextOffset == 0 {
		r.cancel(started.stream.ref)
	}
	return started.grant.Server(), started.stream.nextOffset, refusal
}
