package order

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

const (
	// deadAfter is the number of consecutive failed reads after which a worker
	// counts as dead and its models are placed on other workers.
	deadAfter = 3
	// parallelReads bounds the number of concurrent reads of engine states.
	parallelReads = 8
)

// Documents is the configuration in force; *configuration.Table implements it.
type Documents interface {
	Documents() []*contract.Document
	Drained(address string) bool
}

// Placement polls the states of the engines and plans orders for them.
type Placement struct {
	Documents Documents
	Engine    Engine
	// Leaving reports whether a server accepts no new work; nil: only drained
	// servers count as leaving.
	Leaving func(address string) bool
	// FailureDomain is the failure domain of this host.
	FailureDomain string

	mu      sync.Mutex // guards workers
	workers map[string]observation
}

// observation is the last known state of a worker.
type observation struct {
	state       backend.EngineState
	seen        bool // state was read at least once
	failedReads int  // consecutive failed reads
}

// Plan reads the states of all engines of model services and returns the orders
// that are due.
func (p *Placement) Plan(ctx context.Context) []Order {
	documents := p.Documents.Documents()
	p.readStates(ctx, documents)
	return Plan(documents, p.snapshot(), p.FailureDomain)
}

// DueElsewhere reports whether the last known states require orders that hosts
// in another failure domain may send.
func (p *Placement) DueElsewhere() bool {
	documents, workers := p.Documents.Documents(), p.snapshot()
	for _, document := range documents {
		for _, link := range document.OrderLinks {
			if link.From != p.FailureDomain && len(Plan(documents, workers, link.From)) > 0 {
				return true
			}
		}
	}
	return false
}

// Forget drops all known states, when the host's lease has ended.
func (p *Placement) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = nil
}

// RecordState records an engine's state, as read or as returned with an order's response.
func (p *Placement) RecordState(address string, state backend.EngineState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = map[string]observation{}
	}
	p.workers[address] = observation{state: state, seen: true}
}

func (p *Placement) readStates(ctx context.Context, documents []*contract.Document) {
	addresses := map[string]bool{}
	for _, document := range documents {
		if document.Kind != contract.KindModel {
			continue
		}
		for _, server := range document.BackendServers {
			addresses[server.Address] = true
		}
	}
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for address := range addresses {
		group.Go(func() error {
			p.readState(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
}

func (p *Placement) readState(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	state, err := p.Engine.ReadState(ctx, address)
	if err == nil {
		p.RecordState(address, state)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = map[string]observation{}
	}
	last := p.workers[address]
	last.failedReads++
	p.workers[address] = last
}

// snapshot returns the workers as input for a plan. A worker whose state was read
// before still counts as alive after fewer than deadAfter consecutive failed reads,
// but gets no orders until a read succeeds.
func (p *Placement) snapshot() map[string]Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers := make(map[string]Worker, len(p.workers))
	for address, s := range p.workers {
		leaving := p.Documents.Drained(address) || p.Leaving != nil && p.Leaving(address)
		workers[address] = Worker{Alive: s.seen && s.failedReads < deadAfter && !leaving, Responsive: s.failedReads == 0, State: s.state}
	}
	return workers
}
