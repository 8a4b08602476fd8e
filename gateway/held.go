package gateway

import (
	"sync"

	"github.com/papayasail/papayasail/admission"
)

// maxHeld bounds the generations that wait at this host for a place. Their bodies are
// in memory.
const maxHeld = 512

// heldTable counts the generations of a host that wait for a place.
type heldTable struct {
	mu             sync.Mutex // guards all below
	total          int
	byOrganisation map[string]int
}

// add counts a generation, and reports whether it may wait. It must be removed in both cases.
func (h *heldTable) add(organisation string) (mayWait bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byOrganisation == nil {
		h.byOrganisation = map[string]int{}
	}
	mayWait = h.byOrganisation[organisation] < admission.MaxExcess*(maxHeld-h.total)
	h.byOrganisation[organisation]++
	h.total++
	return mayWait
}

func (h *heldTable) remove(organisation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total--
	if h.byOrganisation[organisation]--; h.byOrganisation[organisation] == 0 {
		delete(h.byOrganisation, organisation)
	}
}
