package routing

import "math"

const (
	bucketsPerOctave = 4
	lengthBuckets    = 17*bucketsPerOctave + 1 // up to 131,072 tokens
	// priorSamples is the weight of the prior distribution, in samples.
	priorSamples = 4
	// sharedSamples is the maximum weight, in samples, of the lengths of the
	// whole service in the table of an organisation.
	sharedSamples = 50
	// halfLifeSamples is the half-life of a sample's weight, in samples, so
	// that the distribution adapts to a changed prompt or model.
	halfLifeSamples = 4000
	// rebuildInterval is the number of samples added to a histogram between two
	// computations of its survival table.
	rebuildInterval = 32
)

// horizons are the points, in tokens from now, for which the memory of an engine
// is forecast. A generation that has ended by then has released its memory.
var horizons = [...]int{0, 32, 64, 128, 256, 512, 1024, 2048}

const horizonCount = len(horizons)

// lengths estimates the distribution of output lengths of one service, by
// organisation, in log-bucketed histograms. It is not safe for concurrent use.
type lengths struct {
	service       *histogram
	organisations map[string]*histogram
	prompt        float64 // average prompt length, tokens
	// unfinished counts an organisation's running generations (empty name: all
	// organisations), by bucket of the tokens produced; see survival.compute.
	unfinished func(organisation string) [lengthBuckets]float64
}

func newLengths(unfinished func(string) [lengthBuckets]float64) *lengths {
	l := &lengths{service: newHistogram(), organisations: map[string]*histogram{}, unfinished: unfinished}
	l.forService()
	return l
}

// add adds the prompt and output length, in tokens, of a generation that ended
// by itself or at its token limit.
func (l *lengths) add(organisation string, prompt, tokens int) {
	const weight = 0.01
	if l.prompt == 0 {
		l.prompt = float64(prompt)
	}
	l.prompt += weight * (float64(prompt) - l.prompt)
	own := l.organisations[organisation]
	if own == nil {
		own = newHistogram()
		l.organisations[organisation] = own
	}
	l.service.add(tokens)
	own.add(tokens)
	l.forService()
}

// forOrganisation returns the survival table of an organisation: its own
// lengths combined with those of the whole service, which dominate while it has
// few samples.
func (l *lengths) forOrganisation(organisation string) *survival {
	own := l.organisations[organisation]
	if own == nil {
		return l.forService()
	}
	if own.outdated() {
		own.table.compute(own, l.service, l.unfinished(organisation))
		own.pending = 0
	}
	return &own.table
}

// forService returns the survival table of the whole service.
func (l *lengths) forService() *survival {
	if l.service.outdated() {
		l.service.table.compute(l.service, nil, l.unfinished(""))
		l.service.pending = 0
	}
	return &l.service.table
}

// mean returns the expected output length in tokens, at most maxTokens (0: no
// limit).
func (l *lengths) mean(organisation string, maxTokens int) float64 {
	mean := l.forOrganisation(organisation).mean
	if maxTokens > 0 {
		return min(mean, float64(maxTokens))
	}
	return mean
}

// histogram counts lengths in buckets with exponentially growing bounds.
type histogram struct {
	counts  [lengthBuckets]float64
	total   float64
	pending int // samples since the table was computed; -1: not computed yet
	table   survival
}

func newHistogram() *histogram { return &histogram{pending: -1} }

func (h *histogram) add(tokens int) {
	const keep = 1 - math.Ln2/halfLifeSamples
	if h.total > halfLifeSamples {
		for i := range h.counts {
			h.counts[i] *= keep
		}
		h.total *= keep
	}
	h.counts[bucketOf(tokens)]++
	h.total++
	if h.pending >= 0 {
		h.pending++
	}
}

// outdated reports whether the table has to be computed again: after each new
// sample while there are fewer than 2*rebuildInterval, then after
// rebuildInterval new ones.
func (h *histogram) outdated() bool {
	return h.pending < 0 || h.pending >= rebuildInterval || (h.pending > 0 && h.total < 2*rebuildInterval)
}

// bucketOf returns the bucket of a length.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	return min(lengthBuckets-1, int(math.Ceil(math.Log2(float64(tokens))*bucketsPerOctave)))
}

// bounds contains the upper bound of each bucket, in tokens.
var bounds = func() (bounds [lengthBuckets]float64) {
	for i := range bounds {
		bounds[i] = math.Exp2(float64(i) / bucketsPerOctave)
	}
	return bounds
}()

// survival is the distribution of output lengths as a survival function: the
// probability of being longer than each bound.
type survival struct {
	mean      float64
	longer    [lengthBuckets]float64 // probability of being longer than bounds[i]
	fromStart [horizonCount]float64  // probability that a new generation is longer than horizons[i]
	residual  [horizonCount]float64  // probability that a running generation has more than horizons[i] to go
}

// compute fills the table from a histogram, a shared histogram and a prior that
// is uniform over the logarithm of lengths up to 2,048 tokens.
//
// Cold start: short generations end first. A host that has just started has seen
// only these, would underestimate all lengths and overfill the memory of engines.
// Running generations therefore count as censored samples, longer than their
// output so far (Kaplan-Meier estimator).
func (s *survival) compute(own, shared *histogram, unfinished [lengthBuckets]float64) {
	var weights [lengthBuckets]float64
	const assumed = 11 * bucketsPerOctave
	for i := range assumed {
		weights[i+1] = priorSamples / float64(assumed)
	}
	if shared != nil && shared.total > 0 {
		scale := min(1, sharedSamples/shared.total)
		for i, count := range shared.counts {
			weights[i] += count * scale
		}
	}
	for i, count := range own.counts {
		weights[i] += count
	}
	s.fill(kaplanMeier(weights, unfinished))
}

// kaplanMeier returns the Kaplan-Meier estimate of the share of lengths in each
// bucket. The share that ends in a bucket is estimated from all generations,
// ended or unfinished, that reached it.
func kaplanMeier(ended, unfinished [lengthBuckets]float64) (shares [lengthBuckets]float64) {
	reached := 0.0
	for i := range ended {
		reached += ended[i] + unfinished[i]
	}
	chance, last := 1.0, 0
	for i := range ended {
		if reached <= 0 {
			break
		}
		last = i
		shares[i] = chance * ended[i] / reached
		chance -= shares[i]
		reached -= ended[i] + unfinished[i]
	}
	// There are no samples beyond the longest generation. The remaining
	// probability is assigned to the bucket of twice that length.
	shares[min(last+bucketsPerOctave, lengthBuckets-1)] += max(0, chance)
	return shares
}

func (s *survival) fill(weights [lengthBuckets]float64) {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	left := total
	s.mean = 0
	below := 0.0
	for i, w := range weights {
		left -= w
		s.longer[i] = max(0, left/total)
		s.mean += w / total * (below + bounds[i]) / 2
		below = bounds[i]
	}
	for k, horizon := range horizons {
		s.residual[k] = s.residualSurvival(float64(horizon))
		s.fromStart[k] = s.longerThan(float64(horizon))
	}
}

// residualSurvival returns the probability that a generation observed at a random
// point of its run has more than the given number of tokens to go: the integral
// of the survival function from there on, divided by the mean (the residual life
// distribution).
func (s *survival) residualSurvival(tokens float64) float64 {
	area, whole, below, chance := 0.0, 0.0, 0.0, 1.0
	for i, bound := range bounds {
		slab := (chance + s.longer[i]) / 2
		whole += (bound - below) * slab
		if bound > tokens {
			area += (bound - max(below, tokens)) * slab
		}
		below, chance = bound, s.longer[i]
	}
	if whole == 0 {
		return 0
	}
	return area / whole
}

// longerThan returns the probability of a length above the given number of
// tokens, interpolated linearly within a bucket, over the logarithm of the
// length.
func (s *survival) longerThan(tokens float64) float64 {
	if tokens <= 1 {
		return 1
	}
	position := math.Log2(tokens) * bucketsPerOctave
	i := int(position)
	if i >= lengthBuckets-1 {
		return s.longer[lengthBuckets-1]
	}
	fraction := position - float64(i)
	return s.longer[i]*(1-fraction) + s.longer[i+1]*fraction
}
