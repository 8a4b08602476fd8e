package allocation

import (
	"slices"
	"sync"
	"time"

	"github.com/papayasail/papayasail/placement"
)

const (
	// offerInterval is the interval at which allocators exchange offers.
	// Reading a prompt takes about twice as long, so the cost of an engine is
	// received while it is still valid.
	offerInterval = 200 * time.Millisecond
	// offersPerPart is the maximum number of places, each on another server, in
	// each list of an offer.
	offersPerPart = 16
	// offerLifetime is how long an offer is valid. Up to three successive offers may be lost.
	offerLifetime = 4 * offerInterval
	// typicalWeight is the weight of one generation in the moving average.
	typicalWeight = 1.0 / 16
)

// offer lists the costs of free places in a part, in ascending order, for brief
// and for long generations. Each allocator that receives the offer may use each
// place in a list for one generation.
type offer struct {
	brief, long []float64
	at          time.Time // when it was received
}

// costsFor returns the costs for brief or for long generations.
func (o *offer) costsFor(brief bool) *[]float64 {
	if brief {
		return &o.brief
	}
	return &o.long
}

// offerTable holds the offers of other parts.
//
// When callers move to a failure domain, or some of that domain's engines are
// lost, its remaining engines are full while other domains have capacity. Offers
// are exchanged in advance, because asking the other parts one after the other
// would take most calls while callers are waiting.
type offerTable struct {
	mu     sync.Mutex // guards all fields below
	offers map[Part]*offer
	// typicalBrief and typicalLong are moving averages of the needs of
	// generations placed here. Costs in different parts are compared for them.
	typicalBrief, typicalLong placement.Need
}

func newOfferTable() *offerTable {
	return &offerTable{
		offers:       map[Part]*offer{},
		typicalBrief: placement.Need{PromptTokens: 2000, OutputTokens: 16},
		typicalLong:  placement.Need{PromptTokens: 3000, OutputTokens: 500},
	}
}

// typical returns the average need of brief or of long generations.
func (m *offerTable) typical(brief bool) placement.Need {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.typicalOf(brief)
}

// typicalOf requires mu.
func (m *offerTable) typicalOf(brief bool) *placement.Need {
	if brief {
		return &m.typicalBrief
	}
	return &m.typicalLong
}

// observe adds a generation's need to the moving average.
func (m *offerTable) observe(need placement.Need) {
	m.mu.Lock()
	defer m.mu.Unlock()
	typical := m.typicalOf(need.Brief())
	typical.PromptTokens += int(typicalWeight * float64(need.PromptTokens-typical.PromptTokens))
	typical.OutputTokens += int(typicalWeight * float64(need.OutputTokens-typical.OutputTokens))
}

// update stores the offer of a part, and drops expired offers.
func (m *offerTable) update(part Part, brief, long []float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offers[part] = &offer{brief: brief, long: long, at: time.Now()}
	for other, o := range m.offers {
		if time.Since(o.at) > offerLifetime {
			delete(m.offers, other)
		}
	}
}

// takeCheapest removes the cheapest offered place with a cost below limit in
// another part of the service, in one of the failure domains (none: in any), and
// returns that part. The next call gets another place.
func (m *offerTable) takeCheapest(own Part, domains []string, brief bool, limit float64) (part Part, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *[]float64
	for other, o := range m.offers {
		costs := o.costsFor(brief)
		if other == own || other.Service != own.Service || len(domains) > 0 && !slices.Contains(domains, other.Domain) || time.Since(o.at) > offerLifetime || len(*costs) == 0 {
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
