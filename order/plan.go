package order

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// Worker is the known state of a backend server, as input for a plan.
type Worker struct {
	Alive bool // not dead, not leaving, not drained
	// Responsive reports that the last read of the server's state succeeded. Only
	// such workers get orders.
	Responsive bool
	State      backend.EngineState
}

// Plan returns the orders that bring the workers closer to the state required
// by the documents: at most one order per server, loads first. The keys of
// workers are addresses; from is the failure domain of the host that would send
// the orders.
//
// A model is loaded until min_workers live workers have it. Other versions of the
// model are unloaded after that, and only on servers where no document requires
// them. So a rolling update never leaves both the old and the new version on fewer
// than min_workers workers. Surplus workers with the required version are left
// unchanged, as are models that no document of the server names.
func Plan(documents []*contract.Document, workers map[string]Worker, from string) []Order {
	p := planner{documents: documents, workers: workers, from: from, ordered: map[string]bool{}}
	for _, document := range documents {
		if document.Model != nil {
			p.planLoads(document)
		}
	}
	for _, document := range documents {
		p.planRoles(document)
		if document.Model != nil {
			p.planUnloads(document)
		}
	}
	return p.orders
}

type planner struct {
	documents []*contract.Document
	workers   map[string]Worker
	from      string
	orders    []Order
	ordered   map[string]bool // addresses with an order in the plan
}

// planLoads plans loads of the required version for the number of missing workers.
func (p *planner) planLoads(document *contract.Document) {
	missing := document.Model.MinWorkers - p.loadedCount(document) - p.plannedLoads(document)
	if missing <= 0 {
		return
	}
	var candidates []contract.BackendServer
	for _, server := range document.BackendServers {
		if p.usable(document, server) && !p.hasLoaded(server, document.Model.Target()) {
			candidates = append(candidates, server)
		}
	}
	slices.SortFunc(candidates, func(a, b contract.BackendServer) int { return p.compare(document, a, b) })
	for _, server := range candidates[:min(missing, len(candidates))] {
		p.add(Order{Document: document, Server: server, Kind: backend.OrderLoad, Model: document.Model.Target()})
	}
}

// compare orders candidates: first workers that have another version of the
// model, since they serve the model already, then those with the fewest models.
// Ties are broken by a hash, so that the next holder selects the same workers.
func (p *planner) compare(document *contract.Document, a, b contract.BackendServer) int {
	rank := func(server contract.BackendServer) int {
		models := p.workers[server.Address].State.Models
		if slices.ContainsFunc(models, document.Model.Matches) {
			return -1
		}
		return len(models)
	}
	hash := func(server contract.BackendServer) uint64 {
		return xxhash.Sum64String(document.Service + "\x00" + server.Address)
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(a), hash(b)), cmp.Compare(a.Address, b.Address))
}

// planUnloads plans unloads of those versions of a document's model that no document
// requires on the server.
func (p *planner) planUnloads(document *contract.Document) {
	for _, server := range document.BackendServers {
		if !p.usable(document, server) {
			continue
		}
		for _, model := range p.workers[server.Address].State.Models {
			if document.Model.Matches(model) && p.mayUnload(server, model) {
				p.add(Order{Document: document, Server: server, Kind: backend.OrderUnload, Model: model})
				break
			}
		}
	}
}

// planRoles plans role orders for servers whose role differs from the document's.
func (p *planner) planRoles(document *contract.Document) {
	for _, server := range document.BackendServers {
		role := p.workers[server.Address].State.Role
		if server.Role != "" && server.Role != role && p.usable(document, server) {
			p.add(Order{Document: document, Server: server, Kind: backend.OrderRole, Role: server.Role})
		}
	}
}

// mayUnload reports whether no document requires a model version on a server,
// and every document that names another version there has min_workers workers
// with that other version.
func (p *planner) mayUnload(server contract.BackendServer, model string) bool {
	for _, document := range p.documents {
		if document.Model == nil || !document.Model.Matches(model) || !listsServer(document, server.Address) {
			continue
		}
		if document.Model.Target() == model || p.loadedCount(document) < document.Model.MinWorkers {
			return false
		}
	}
	return true
}

// usable reports whether a server can get an order in this plan.
func (p *planner) usable(document *contract.Document, server contract.BackendServer) bool {
	worker := p.workers[server.Address]
	return worker.Alive && worker.Responsive && !p.ordered[server.Address] && document.AllowsOrders(p.from, server)
}

// plannedLoads returns the number of a document's workers on which this plan already
// loads the required version for another document. Without this count, each
// service that names the model would load it on separate workers.
func (p *planner) plannedLoads(document *contract.Document) int {
	n := 0
	for _, order := range p.orders {
		if order.Kind == backend.OrderLoad && order.Model == document.Model.Target() && listsServer(document, order.Server.Address) {
			n++
		}
	}
	return n
}

// loadedCount returns the number of live workers that have the required version.
func (p *planner) loadedCount(document *contract.Document) int {
	n := 0
	for _, server := range document.BackendServers {
		if p.workers[server.Address].Alive && p.hasLoaded(server, document.Model.Target()) {
			n++
		}
	}
	return n
}

func (p *planner) hasLoaded(server contract.BackendServer, model string) bool {
	return slices.Contains(p.workers[server.Address].State.Models, model)
}

func (p *planner) add(order Order) {
	p.ordered[order.Server.Address] = true
	p.orders = append(p.orders, order)
}

func listsServer(document *contract.Document, address string) bool {
	return slices.ContainsFunc(document.BackendServers, func(s contract.BackendServer) bool { return s.Address == address })
}

// Reach returns the number of the documents' model workers that a host in the
// given failure domain may send orders to. Of all live hosts, those with the
// greatest reach should contend for the lease.
func Reach(documents []*contract.Document, from string) int {
	reach := 0
	for _, document := range documents {
		if document.Model == nil {
			continue
		}
		for _, server := range document.BackendServers {
			if document.AllowsOrders(from, server) {
				reach++
			}
		}
	}
	return reach
}
