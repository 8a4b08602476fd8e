package fleet

import "go.uber.org/zap"

// Life is one life of a backend server. A server that starts again has another
// ID, or the same one with another time of birth; either way it holds nothing
// of what ran there before.
type Life struct {
	ID string
	// Born is the server's own word on its start, in Unix ms; zero: not said.
	Born int64
}

// Is reports whether two words may be of the same life. One that does not say
// when it was born tells the ID only.
func (l Life) Is(other Life) bool {
	return l.ID == other.ID && (l.Born == other.Born || l.Born == 0 || other.Born == 0)
}

// replace ends what is known of a life whose server has started again. Called
// with mu held.
//
// Failure: a server crashes and is back under its id before its entry has
// lapsed. What ran there is lost, but its connections may be silent: callers
// waited until their time was over, the loads of the earlier life kept others
// away, and a copy that was ordered there could be taken for another run's.
// All that is believed belongs to one entry, and this ends with it.
func (t *Table) replace(e *entry, server Server) {
	t.logger.Info(msgReborn, zap.String("server", server.ID), zap.Int64("born", server.Born), zap.Int64("born_before", e.server.Born),
		zap.Int("own_work", len(e.work)))
	e.endLife() // first: who is told that the server leaves must not ask the later life for a run
	e.removed = true
	t.leave(e, SourceReborn)
	t.drop(e)
}

// Disregard notes that a server's entry cannot be read: whoever wrote it, it
// names no server to use. What runs there goes on, until a readable entry says
// otherwise.
func (t *Table) Disregard(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[id]; e != nil {
		t.disregard(e)
	}
}

// disregard is called with mu held.
func (t *Table) disregard(e *entry) {
	if e.unnamed {
		return
	}
	e.unnamed = true
	t.logger.Warn(msgUnnamed, zap.String("server", e.server.ID), zap.String("address", e.server.Address), zap.Int("own_work", len(e.work)))
}

// entryOf returns the entry of a life, or nil. Called with mu held.
func (t *Table) entryOf(life Life) *entry {
	e := t.servers[life.ID]
	if e == nil || !e.server.Life().Is(life) {
		return nil
	}
	return e
}

// Superseded reports whether a later life of the server is known.
func (t *Table) Superseded(life Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[life.ID]
	return e != nil && !e.server.Life().Is(life)
}
