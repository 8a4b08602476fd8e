package fleet

import "go.uber.org/zap"

// Incarnation identifies one incarnation of a backend server. A restarted server
// has a new ID, or the same ID with another start time. Either way it has no
// state of the earlier incarnation.
type Incarnation struct {
	ID string
	// Born is the start time in Unix ms, as reported by the server; zero: not reported.
	Born int64
}

// Is reports whether both may identify the same incarnation. If either has no
// start time, only the IDs are compared.
func (l Incarnation) Is(other Incarnation) bool {
	return l.ID == other.ID && (l.Born == other.Born || l.Born == 0 || other.Born == 0)
}

// replace ends the incarnation of a server that has restarted, and discards all
// state of its entry. Requires mu.
//
// A server can crash and return under the same ID before its host list entry
// expires. Its work is lost, but connections to it may stay open and silent. If
// state were kept across the restart, callers would wait until their deadlines,
// the old loads would keep requests away, and a copy ordered there could be
// mistaken for that of another run.
func (t *Table) replace(e *entry, server Server) {
	t.logger.Info(msgRestarted, zap.String("server", server.ID), zap.Int64("born", server.Born), zap.Int64("born_before", e.server.Born),
		zap.Int("own_work", len(e.work)))
	// Before setLeaving: goroutines that it wakes must find the incarnation
	// ended, so that they do not request their run from the new incarnation.
	e.endIncarnation()
	e.removed = true
	t.setLeaving(e, SourceRestarted)
	t.drop(e)
}

// MarkInvalid records that a server's host list entry is invalid, so that the
// server gets no new work. Requests that run there continue. A valid entry
// makes the server usable again.
func (t *Table) MarkInvalid(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		t.markInvalid(e)
		e.conflicting = nil
	}
}

// markInvalid requires mu.
func (t *Table) markInvalid(e *entry) {
	if e.invalid {
		return
	}
	e.invalid = true
	t.logger.Warn(msgInvalidEntry, zap.String("server", e.server.ID), zap.String("address", e.server.Address), zap.Int("own_work", len(e.work)))
}

// entryOf returns the entry of an incarnation, or nil. Requires mu.
func (t *Table) entryOf(incarnation Incarnation) *entry {
	e := t.servers[incarnation.ID]
	if e == nil || !e.server.Incarnation().Is(incarnation) {
		return nil
	}
	return e
}

// Superseded reports whether the table has another incarnation of the server.
func (t *Table) Superseded(incarnation Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[incarnation.ID]
	return e != nil && !e.server.Incarnation().Is(incarnation)
}
