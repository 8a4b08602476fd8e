package entryhost

import (
	"sync"
	"time"

	"github.com/papayasail/papayasail/backend"
)

// renewBefore is how long before its expiry a leaving announcement is renewed.
const renewBefore = 15 * time.Second

// leavingPublisher publishes to peers that a backend server is leaving.
type leavingPublisher interface {
	MarkLeaving(server string, until time.Time)
}

// announcer announces to peers which backend servers are leaving: at once when a
// server starts to leave, and again before the announcement expires. It limits
// the rate since otherwise every load report would extend the expiry slightly
// and cause another announcement to the whole fleet.
type announcer struct {
	publisher leavingPublisher

	mu        sync.Mutex           // guards announced
	announced map[string]time.Time // expiry of the last announcement, by address
}

func newAnnouncer(publisher leavingPublisher) *announcer {
	return &announcer{publisher: publisher, announced: make(map[string]time.Time)}
}

func (a *announcer) announce(marks []backend.LeavingMark, now time.Time) {
	for _, mark := range a.due(marks, now) {
		a.publisher.MarkLeaving(mark.Address, mark.Until)
	}
}

// due returns the marks that must be announced now and records them.
func (a *announcer) due(marks []backend.LeavingMark, now time.Time) []backend.LeavingMark {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []backend.LeavingMark
	for _, mark := range marks {
		if until, ok := a.announced[mark.Address]; ok && until.Sub(now) > renewBefore {
			continue
		}
		a.announced[mark.Address] = mark.Until
		due = append(due, mark)
	}
	for address, until := range a.announced {
		if until.Before(now) {
			delete(a.announced, address)
		}
	}
	return due
}
