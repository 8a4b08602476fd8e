package record

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// maxPageBytes bounds a page of more than one record in a hand-over. It is below the
// size limit of a gRPC message. A larger record has a page of its own.
const maxPageBytes = 1 << 20

// Pages returns the records that a stopping host hands over, in pages. The map
// is keyed by Home.IncarnationID and has an element for the host's own incarnation and
// for each adopted one. Call it after Close. Requests that still run are handed
// over as not finished; the successor answers them with "unknown".
func (l *Ledger) Pages() map[string][]*peerpb.HandOverRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	byIncarnation := make(map[string][]*Entry)
	for _, entry := range l.entries {
		incarnationID := entry.key.Home.IncarnationID()
		byIncarnation[incarnationID] = append(byIncarnation[incarnationID], entry)
	}
	own := l.Home()
	pages := map[string][]*peerpb.HandOverRequest{own.IncarnationID(): pagesOf(own, byIncarnation[own.IncarnationID()], true)}
	for incarnationID, adopted := range l.adoptions {
		pages[incarnationID] = pagesOf(adopted.home, byIncarnation[incarnationID], adopted.complete)
	}
	return pages
}

func pagesOf(home Home, entries []*Entry, complete bool) []*peerpb.HandOverRequest {
	page := &peerpb.HandOverRequest{Home: home.String()}
	pages := []*peerpb.HandOverRequest{page}
	size := 0
	for _, entry := range entries {
		if size += entry.bytes; size > maxPageBytes && len(page.Records) > 0 {
			page = &peerpb.HandOverRequest{Home: home.String()}
			pages = append(pages, page)
			size = entry.bytes
		}
		page.Records = append(page.Records, entry.toProto())
	}
	page.Last = complete
	return pages
}

func (e *Entry) toProto() *peerpb.Record {
	record := &peerpb.Record{
		Key:         e.id.key,
		Fingerprint: append([]byte(e.id.organisation+"\x00"), e.fingerprint[:]...),
		Epoch:       e.key.Home.Epoch,
	}
	select {
	case <-e.done:
		record.Finished = true
		record.Answer = e.answer.ToProto()
	default:
	}
	return record
}

// ErrClosed means that the ledger is closed and hands over its own records.
var ErrClosed = errors.New("record: ledger closed")

// Adopt adds a page of records from a stopped host. From then on the ledger
// answers for keys of that incarnation, but never runs them. It returns ErrKey
// for a malformed home and ErrClosed if the ledger is closed.
//
// Guards against two hosts that stop at the same time: records adopted after
// this host built its own pages would be lost when it ends. A closed ledger
// refuses, and the other host tries its next successor.
func (l *Ledger) Adopt(page *peerpb.HandOverRequest) error {
	home, err := ParseHome(page.GetHome())
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	adopted := l.adoptions[home.IncarnationID()]
	if adopted == nil {
		adopted = &adoption{home: home}
		l.adoptions[home.IncarnationID()] = adopted
	}
	adopted.expires = time.Now().Add(l.options.EpochLength * time.Duration(l.options.RetainEpochs))
	for _, record := range page.GetRecords() {
		l.adoptRecord(adopted, record)
	}
	adopted.complete = adopted.complete || page.GetLast()
	return nil
}

// adoptRecord adds one handed-over record. Callers hold mu.
func (l *Ledger) adoptRecord(adopted *adoption, record *peerpb.Record) {
	key, err := ParseKey(record.GetKey())
	organisation, fingerprint, ok := splitFingerprint(record.GetFingerprint())
	if err != nil || !ok || !key.Home.SameIncarnation(adopted.home) {
		// A record that cannot be decoded may belong to any key: from now on a key
		// of this incarnation without a record is "unknown" and not "not run".
		adopted.home.Epoch = ^uint64(0)
		return
	}
	entry := &Entry{ledger: l, id: recordKey{organisation: organisation, key: record.GetKey()}, key: key, fingerprint: fingerprint, done: make(chan struct{})}
	entry.answer = Answer{Refusal: contract.Unknown(contract.ReasonHomeGone, 0, "the entry host stopped while the request ran")}
	if record.GetFinished() {
		entry.answer = AnswerFromProto(record.GetAnswer())
	}
	close(entry.done)
	entry.bytes = entry.answer.size()
	if l.bytes+entry.bytes > l.options.MaxBytes {
		entry.answer = Answer{Refusal: contract.Unknown(contract.ReasonRecordsFull, 0, "the request ran; its answer was too large to keep")}
		entry.bytes = entry.answer.size()
	}
	if old := l.entries[entry.id]; old != nil {
		return // the page was sent twice
	}
	l.entries[entry.id] = entry
	l.bytes += entry.bytes
	adopted.entries = append(adopted.entries, entry)
}

func splitFingerprint(raw []byte) (organisation string, fingerprint Fingerprint, ok bool) {
	cut := len(raw) - len(fingerprint) - 1
	if cut < 0 || raw[cut] != 0 {
		return "", fingerprint, false
	}
	copy(fingerprint[:], raw[cut+1:])
	return string(raw[:cut]), fingerprint, true
}

// ToProto encodes an answer for another entry host. A refusal's cause is not
// transmitted.
func (a *Answer) ToProto() *peerpb.ForwardResponse {
	if r := a.Refusal; r != nil {
		return &peerpb.ForwardResponse{
			Outcome: string(r.Outcome), Reason: string(r.Reason), Detail: r.Detail,
			RetryAfterMs: r.RetryAfter.Milliseconds(), Status: int32(r.Status),
		}
	}
	response := &peerpb.ForwardResponse{EventId: a.EventID, Status: int32(a.Status), Body: a.Body}
	for name, values := range a.Header {
		response.Headers = append(response.Headers, &peerpb.Header{Name: name, Values: values})
	}
	return response
}

// AnswerFromProto decodes an answer that ToProto encoded.
func AnswerFromProto(response *peerpb.ForwardResponse) Answer {
	if response.GetOutcome() != "" {
		return Answer{Refusal: &contract.Refusal{
			Outcome: contract.Outcome(response.GetOutcome()), Reason: contract.Reason(response.GetReason()), Detail: response.GetDetail(),
			RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond, Status: int(response.GetStatus()),
		}}
	}
	answer := Answer{EventID: response.GetEventId(), Status: int(response.GetStatus()), Body: response.GetBody()}
	if len(response.GetHeaders()) > 0 {
		answer.Header = make(http.Header)
	}
	for _, header := range response.GetHeaders() {
		answer.Header[header.GetName()] = header.GetValues()
	}
	return answer
}
