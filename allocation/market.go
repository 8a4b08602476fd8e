package allocation

import (
	"sync"
	"time"

	"github.com/papayasail/papayasail/placement"
)

const (
	// offerInterval spaces what allocators tell each other: a generation's
	// prompt is read in about twice the time, so that an engine's cost is
	// known while it holds.
	offerInterval = 200 * time.Millisecond
	// offersKept is how many servers of a part are offered at a time, each for
	// one generation of each other part.
	offersKept = 16
	// offerLifetime is how long an offer counts: three of them may be lost.
	offerLifetime = 4 * offerInterval
	// typicalWeight is what one generation weighs in the typical one.
	typicalWeight = 1.0 / 16
)

// offer is what places in a part cost, the lowest first.
type offer struct {
	brief, long []float64
	at          time.Time // when it was heard
}

// of returns the costs for brief or for long generations.
func (o *offer) of(brief bool) *[]float64 {
	if brief {
		return &o.brief
	}
	return &o.long
}

// market is what an allocator knows of the parts of others.
//
// The load it answers: callers move to another failure domain, or its engines
// are lost, and a service is cut by domains. The engines there are full while
// those of other domains have room. Asking them one after the other would take
// the most calls when there is the least time for them.
type market struct {
	mu     sync.Mutex // guards all below
	offers map[Part]*offer
	// typicalBrief and typicalLong are what generations need on average, as
	// asked here; prices of two parts are compared for them.
	typicalBrief, typicalLong placement.Need
}

func newMarket() *market {
	return &market{
		offers:       map[Part]*offer{},
		typicalBrief: placement.Need{PromptTokens: 2000, OutputTokens: 16},
		typicalLong:  placement.Need{PromptTokens: 3000, OutputTokens: 500},
	}
}

// typical returns what a brief or a long generation needs on average.
func (m *market) typical(brief bool) placement.Need {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.typicalOf(brief)
}

// typicalOf is called with mu held.
func (m *market) typicalOf(brief bool) *placement.Need {
	if brief {
		return &m.typicalBrief
	}
	return &m.typicalLong
}

// observe takes in what a generation needs.
func (m *market) observe(need placement.Need) {
	m.mu.Lock()
	defer m.mu.Unlock()
	typical := m.typicalOf(need.Brief())
	typical.PromptTokens += int(typicalWeight * float64(need.PromptTokens-typical.PromptTokens))
	typical.OutputTokens += int(typicalWeight * float64(need.OutputTokens-typical.OutputTokens))
}

// hear takes in what a part offers.
func (m *market) hear(part Part, brief, long []float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offers[part] = &offer{brief: brief, long: long, at: time.Now()}
	for other, o := range m.offers {
		if time.Since(o.at) > offerLifetime {
			delete(m.offers, other)
		}
	}
}

// below takes the best offer of another part of the service whose cost is
// below limit, so that the next one gets another server.
func (m *market) below(own Part, brief bool, limit float64) (part Part, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *[]float64
	for other, o := range m.offers {
		costs := o.of(brief)
		if other == own || other.Service != own.Service || time.Since(o.at) > offerLifetime || len(*costs) == 0 {
			continue
		}
		if cost := (*costs)[0]; cost < limit && (best == nil || cost < (*best)[0]) {
			part, best = other, costs
		}
	}
	if best == nil {
		return Part{}, false
	}
	*best = (*best)[1:]
	return part, true
}
