package routing

import (
	"math/rand/v2"
	"time"

	"github.com/papayasail/papayasail/backend"
)

const (
	// refreshInterval is the maximum age of the forecast of this host's own
	// generations when no report arrives.
	refreshInterval = 250 * time.Millisecond
	// staleAfter is the age at which a report is stale and no longer used as
	// evidence of the load that other hosts place.
	staleAfter = 5 * time.Second
)

// serverLoad tracks the load of one backend server: the requests that this host
// runs there, and an estimate of the load from other hosts, derived from the
// server's reports. The service's mutex guards all fields except gaps.
type serverLoad struct {
	grants    []*grant
	running   int       // len(grants); requests granted and not done
	own       forecast  // of this host's generations
	held      float64   // tokens in memory of own generations that have produced tokens
	decoding  int       // number of own generations that have produced tokens
	refreshed time.Time // when the fields above were last computed

	reportedAt       time.Time // time of the report that the fields below come from
	otherHosts       forecast  // of other hosts' generations
	otherGenerations float64   // number of other hosts' generations
	recent           forecast  // of own grants since the report
	recentCount      int       // number of own grants since the report
	draw             float64   // random number, 0 to 1, drawn for each report
	plausible        bool      // the report passed the plausibility check
	capacity         float64   // tokens; 0: never reported
	preempted        uint64    // preemption counter in the report
	margin           float64   // share of the capacity kept free because of preemptions
	marginAt         time.Time // last update of margin
	history          history
	lagSample        lagSample

	gaps  gapMeter
	limit runningLimit
}

// serverLoad returns the load state of the server at address and creates it if
// needed. Called with mu held.
func (s *service) serverLoad(address string) *serverLoad {
	l := s.serverLoads[address]
	if l == nil {
		l = &serverLoad{}
		s.serverLoads[address] = l
	}
	return l
}

// add adds a grant.
func (l *serverLoad) add(g *grant, table *survival) {
	g.demand = generationForecast(table, g.request.PromptTokens, 0, g.request.MaxTokens)
	g.index = len(l.grants)
	l.grants = append(l.grants, g)
	l.own.add(&g.demand, 1)
	l.running++
	l.recent.add(&g.demand, 1)
	l.recentCount++
}

// remove removes a grant.
func (l *serverLoad) remove(g *grant) {
	last := len(l.grants) - 1
	l.grants[g.index] = l.grants[last]
	l.grants[g.index].index = g.index
	l.grants[last] = nil
	l.grants = l.grants[:last]
	l.own.add(&g.demand, -1)
	l.running--
}

// refresh recomputes the forecast of this host's generations from the tokens
// that they have produced so far.
func (l *serverLoad) refresh(lengths *lengths, now time.Time) {
	l.own, l.held, l.decoding, l.refreshed = forecast{}, 0, 0, now
	for _, g := range l.grants {
		produced := int(g.produced.Load())
		if produced > 0 {
			l.held += float64(g.request.PromptTokens + produced)
			l.decoding++
		}
		g.demand = generationForecast(lengths.forOrganisation(g.request.Organisation), g.request.PromptTokens, produced, g.request.MaxTokens)
		l.own.add(&g.demand, 1)
	}
	l.history.add(ownSample{at: now, held: l.held, decoding: l.decoding, running: l.running})
}

// apply applies a new report of the server. Load in the report that exceeds this
// host's own load is attributed to other hosts.
func (l *serverLoad) apply(server *backend.Server, lengths *lengths, lags *lagMeter, random *rand.Rand, now time.Time) {
	if server.ReportedAt.Equal(l.reportedAt) {
		return
	}
	l.refresh(lengths, now)
	l.reportedAt = server.ReportedAt
	l.recent, l.recentCount, l.draw = forecast{}, 0, random.Float64()
	load := server.Load
	if load.TokenCapacity > 0 {
		l.capacity = float64(load.TokenCapacity)
	}
	l.plausible = plausible(load)
	if !l.plausible {
		l.otherHosts, l.otherGenerations = forecast{}, 0
		return
	}
	lags.add(&l.lagSample, float64(load.Running+load.Waiting), &l.history, now)
	then := l.history.at(now.Add(-lags.lag()))
	l.otherGenerations = max(0, float64(load.Running-then.decoding))
	l.otherHosts = otherHostsForecast(lengths.forService(), l.otherGenerations, max(0, float64(load.TokensHeld)-then.held))
	l.addWaiting(load, then, lengths)
	l.otherHosts.clamp(l.capacity)
	l.learnMargin(load.Preemptions, now)
	l.limit.update(&l.gaps, float64(load.Running), now)
}

// plausible reports whether a report can be true: the memory in use is within the
// capacity, each running generation holds memory, and no more generations wait
// than the capacity has tokens. An implausible report is handled as missing:
// otherwise it would take its server out of use and, through the mean over all
// servers, the other servers too.
func plausible(load backend.LoadReport) bool {
	return load.TokensHeld >= 0 && load.TokensHeld <= load.TokenCapacity &&
		load.Running >= 0 && load.Running <= load.TokensHeld &&
		load.Waiting >= 0 && load.Waiting <= load.TokenCapacity
}

// addWaiting adds the generations of other hosts that are queued in the engine:
// they hold no memory yet, but will.
func (l *serverLoad) addWaiting(load backend.LoadReport, then ownSample, lengths *lengths) {
	waiting := float64(load.Waiting - (then.running - then.decoding))
	if waiting <= 0 {
		return
	}
	queued := generationForecast(lengths.forService(), int(lengths.prompt), 0, 0)
	l.otherHosts.add(&queued, waiting)
	l.otherGenerations += waiting
}

// remainingShare returns the expected memory of other hosts' generations at the
// given age of the report, as a share of the reported memory, at most 1: some
// of the generations have ended, the rest have grown.
func (l *serverLoad) remainingShare(table *survival, age time.Duration) float64 {
	if l.limit.meanGap <= 0 || l.otherGenerations <= 0 {
		return 1
	}
	tokens := float64(age) / float64(l.limit.meanGap)
	first := float64(horizons[1])
	left := 1 - (1-table.residual[1])*min(tokens, first)/first
	size := max(1, l.otherHosts.mean[0]/l.otherGenerations)
	return min(1, left*(1+tokens/size))
}

// reportUsable reports whether the last report is plausible and not stale, so
// that it can be used to estimate the load from other hosts.
func (l *serverLoad) reportUsable(now time.Time) bool {
	return l.plausible && now.Sub(l.reportedAt) < staleAfter
}

const (
	marginStep  = 0.01  // share of the capacity added for each report with new preemptions
	maxMargin   = 0.3   // upper bound
	marginDecay = 0.002 // share of the capacity by which the margin falls per second
)

// learnMargin increases the memory margin of a server if its report shows new
// preemptions, for whatever reason the forecast was too low, and lowers the margin
// slowly over time.
func (l *serverLoad) learnMargin(preemptions uint64, now time.Time) {
	if !l.marginAt.IsZero() {
		l.margin = max(0, l.margin-marginDecay*now.Sub(l.marginAt).Seconds())
		if preemptions > l.preempted {
			l.margin = min(maxMargin, l.margin+marginStep)
		}
	}
	l.preempted, l.marginAt = preemptions, now
}

// ownSample is a sample of this host's own load on a server.
type ownSample struct {
	at       time.Time
	held     float64
	decoding int
	running  int
}

// historyLength is the number of samples in a history. At one sample per
// refreshInterval a history covers historyLength * refreshInterval; each report
// adds a sample too, so frequent reports shorten that time. It has to cover the
// ages that lagMeter considers.
const historyLength = 32

// history is a ring buffer of samples of this host's own load. Reports lag, so
// each one has to be compared with the own load at the time that it describes.
// Compared with the current load, own generations that ended since would count as
// other hosts' load, and own generations that began since would hide it.
type history struct {
	samples [historyLength]ownSample
	next    int
}

func (h *history) add(m ownSample) {
	h.samples[h.next%historyLength] = m
	h.next++
}

// at returns the latest sample that is not after the given time, or the oldest
// sample.
func (h *history) at(when time.Time) ownSample {
	oldest := max(0, h.next-historyLength)
	for i := h.next - 1; i > oldest; i-- {
		if m := h.samples[i%historyLength]; !m.at.After(when) {
			return m
		}
	}
	return h.samples[oldest%historyLength]
}
