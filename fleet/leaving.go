package fleet

import "time"

// wordKept is the minimum time for which a server's own report of leaving is
// kept. A host list entry that expired during a store outage returns within
// that time.
const wordKept = 30 * time.Minute

// leavingWord records that a server reported itself as leaving.
type leavingWord struct {
	life Life
	at   time.Time
}

// noteWord records that a server reported itself as leaving. The report holds
// for the rest of the incarnation, whatever the host list contains. Requires
// mu.
func (t *Table) noteWord(life Life) {
	for id, word := range t.saidLeaving {
		if time.Since(word.at) >= wordKept && t.servers[id] == nil {
			delete(t.saidLeaving, id)
		}
	}
	t.saidLeaving[life.ID] = leavingWord{life, time.Now()}
}

// saysLeaving reports whether a server has reported itself as leaving in this
// incarnation. Requires mu.
func (t *Table) saysLeaving(life Life) bool {
	word, known := t.saidLeaving[life.ID]
	return known && word.life.Is(life)
}
