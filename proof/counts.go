package proof

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/papayasail/papayasail/contract"
)

// Counts records how often each action applied and how attempts ended. It
// reveals fuzz runs in which some actions never apply.
type Counts struct {
	mu        sync.Mutex // guards all below
	sequences int
	actions   map[string]int
	outcomes  map[contract.Outcome]int
}

// NewCounts returns empty counts.
func NewCounts() *Counts {
	return &Counts{actions: map[string]int{}, outcomes: map[contract.Outcome]int{}}
}

func (c *Counts) add(verb string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actions[verb]++
}

func (c *Counts) addSequence(o *Oracle) {
	o.mu.Lock()
	outcomes := maps.Clone(o.outcomes)
	o.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequences++
	for outcome, n := range outcomes {
		c.outcomes[outcome] += n
	}
}

// Missing returns the actions that never applied.
func (c *Counts) Missing() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing []string
	for name := range verbs {
		if c.actions[name] == 0 {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// Applied returns how often an action applied.
func (c *Counts) Applied(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.actions[name]
}

// String renders the counts, one action or outcome per line.
func (c *Counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%d sequences\n", c.sequences)
	for _, name := range slices.Sorted(maps.Keys(c.actions)) {
		fmt.Fprintf(&b, "%8d %s\n", c.actions[name], name)
	}
	for _, outcome := range slices.Sorted(maps.Keys(c.outcomes)) {
		fmt.Fprintf(&b, "%8d attempts ended %s\n", c.outcomes[outcome], outcome)
	}
	return b.String()
}
