package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/papayasail/papayasail/backend"
)

// arrival is one request of the generated load.
type arrival struct {
	number       int
	at           time.Duration // intended send time, after the start of the run
	organisation int
	prompt       string
	promptTokens int
	tokens       int // output length
	host         int // selects the caller that sends it
}

// generateArrivals generates the requests of a run: Poisson arrivals at a load
// that may change with time, and heavy-tailed lengths. The requests depend on
// the seed and not on the policy.
func generateArrivals(s site, seed uint64, load func(time.Duration) float64, end time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	mean := s.outputs.mean()
	var all []arrival
	for at := time.Duration(0); ; {
		rate := load(at) * s.peakTokens / mean
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return all
		}
		a := arrival{
			number: len(all), at: at, organisation: pickWeighted(random, s.shares), host: random.IntN(s.entryHosts),
			tokens: s.outputs.draw(random), promptTokens: s.prompts.draw(random),
		}
		a.prompt = prompt(s, seed, a, random.IntN(s.prefixes))
		all = append(all, a)
	}
}

func pickWeighted(random *rand.Rand, shares []float64) int {
	u := random.Float64()
	for i, share := range shares {
		if u < share {
			return i
		}
		u -= share
	}
	return len(shares) - 1
}

func (l lengths) draw(random *rand.Rand) int {
	return max(1, min(l.limit, int(l.median*math.Exp(l.sigma*random.NormFloat64()))))
}

// mean returns the mean of the truncated distribution, estimated from samples.
func (l lengths) mean() float64 {
	const draws = 50_000
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0
	for range draws {
		sum += l.draw(random)
	}
	return float64(sum) / draws
}

const promptBytesPerToken = 4

// prompt returns a prefix that several requests share, followed by a tag that
// identifies the request, by which the oracle finds it among the engines' runs.
func prompt(s site, seed uint64, a arrival, prefix int) string {
	shared := fmt.Sprintf("%s organisation %d form %d ", s.name, a.organisation, prefix)
	shared += strings.Repeat("~", backend.PrefixBytes-len(shared))
	text := shared + tag(seed, a.number)
	if missing := a.promptTokens*promptBytesPerToken - len(text); missing > 0 {
		text += strings.Repeat(".", missing)
	}
	return text
}

func tag(seed uint64, number int) string { return fmt.Sprintf("#%d/%d#", seed, number) }

// tagOf returns the tag in a prompt, or "" if it contains none.
func tagOf(prompt string) string {
	if len(prompt) < backend.PrefixBytes {
		return ""
	}
	parts := strings.SplitN(prompt[backend.PrefixBytes:], "#", 3)
	if len(parts) < 3 {
		return ""
	}
	return "#" + parts[1] + "#"
}
