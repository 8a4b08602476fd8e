package fleet

import "time"

// wordKept is how long a server's own word that it leaves is kept at least; an
// entry that lapsed with an outage of the store comes back before.
const wordKept = 30 * time.Minute

// leavingWord is a server's own word that it leaves.
type leavingWord struct {
	life Life
	at   time.Time
}

// noteWord takes in a server's own word that it leaves, which holds for as long
// as that life lasts, whatever an entry says. Called with mu held.
func (t *Table) noteWord(life Life) {
	for id, word := range t.saidLeaving {
		if time.Since(word.at) >= wordKept && t.servers[id] == nil {
			delete(t.saidLeaving, id)
		}
	}
	t.saidLeaving[life.ID] = leavingWord{life, time.Now()}
}

// saysLeaving reports whether a server has said itself that it leaves in this
// life. Called with mu held.
func (t *Table) saysLeaving(life Life) bool {
	word, known := t.saidLeaving[life.ID]
	return known && word.life.Is(life)
}
