package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retransmits is how often one host tells a record as news; fewer where the
	// request is only suspected, as are all that were on a crashed server.
	retransmits        = 12
	suspectRetransmits = 4
	// newsLimit bounds the news in one message.
	newsLimit = 8
	// repeated is how many quarantined requests each message names besides its
	// news, so that a host that missed the news still hears of them.
	repeated = 2
)

// News returns the records for one message to another host.
func (t *Table) News() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var news []Record
	for _, e := range t.untold(now) {
		e.passOn--
		news = append(news, e.told(now))
	}
	for range repeated {
		e := t.nextRepeated()
		if e == nil || slices.ContainsFunc(news, func(r Record) bool { return r.Fingerprint == e.Fingerprint }) {
			break
		}
		news = append(news, e.told(now))
	}
	return news
}

// untold returns what is still to be told, quarantined requests first and among
// them the newest, newsLimit at most. Called with mu held.
func (t *Table) untold(now time.Time) []*entry {
	var untold []*entry
	for fingerprint, e := range t.requests {
		switch {
		case !now.Before(e.expires):
			delete(t.requests, fingerprint)
		case e.passOn > 0:
			untold = append(untold, e)
		}
	}
	slices.SortFunc(untold, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.passOn, a.passOn))
	})
	return untold[:min(len(untold), newsLimit)]
}

// nextRepeated returns the quarantined request whose turn it is, or nil. Called
// with mu held.
func (t *Table) nextRepeated() *entry {
	if len(t.rotation) == 0 {
		for fingerprint, e := range t.requests {
			if e.Quarantined() {
				t.rotation = append(t.rotation, fingerprint)
			}
		}
	}
	if len(t.rotation) == 0 {
		return nil
	}
	next := t.rotation[0]
	t.rotation = t.rotation[1:]
	if e := t.get(next); e != nil && e.Quarantined() {
		return e
	}
	return nil
}

// All returns the quarantined requests.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Record
	now := time.Now()
	for _, e := range t.requests {
		if e.Quarantined() && now.Before(e.expires) {
			all = append(all, e.told(now))
		}
	}
	return all
}

func (e *entry) told(now time.Time) Record {
	r := e.Record
	r.Left = e.expires.Sub(now)
	return r
}
