package bench

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/fake/engine"
)

// Names of the sites.
const (
	SiteAkarsu  = "akarsu"
	SiteTaoyuan = "taoyuan"
)

// site describes the layout of a deployment and its load.
type site struct {
	name               string
	service            string
	domains            []string
	domainLatency      time.Duration // one-way latency between failure domains
	callerLatency      time.Duration // one-way latency between callers and hosts
	entryHosts         int
	workers            int
	idempotent         bool // whether generations may run more than once
	engine             engine.Config
	prompts            lengths
	outputs            lengths
	prefixes           int       // distinct prompt prefixes of one organisation
	shares             []float64 // fractions of the requests, by organisation
	peakTokens         float64   // output tokens/s of the whole site at load 1
	firstTokenDeadline time.Duration
	queueDeadline      time.Duration
	targetGap          time.Duration
	placementRisk      float64
	// pollsPerSecond is the rate at which a host polls engines for their load;
	// 0: the entry host's default for the size of its fleet.
	pollsPerSecond float64
}

// lengths is a truncated log-normal distribution, in tokens.
type lengths struct {
	median float64
	sigma  float64
	limit  int // largest length
}

// tenOrganisations are the request fractions of ten organisations, a few of them
// large.
var tenOrganisations = []float64{0.35, 0.2, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02}

var sites = map[string]site{
	SiteAkarsu: {
		name: SiteAkarsu, service: "outlook",
		domains: []string{"ankara", "kirikkale", "konya"}, domainLatency: 1500 * time.Microsecond, callerLatency: time.Millisecond,
		entryHosts: 7, workers: 12, idempotent: true,
		engine:  engine.Config{TokenCapacity: 6000, MaxBatch: 48, StepBase: 20 * time.Millisecond, StepPerRunning: 400 * time.Microsecond},
		prompts: lengths{median: 120, sigma: 0.7, limit: 2000}, outputs: lengths{median: 100, sigma: 1.0, limit: 1200},
		prefixes: 8, shares: tenOrganisations, peakTokens: 7000,
		firstTokenDeadline: 20 * time.Second, queueDeadline: 5 * time.Second, targetGap: 150 * time.Millisecond, placementRisk: 0.02,
	},
	SiteTaoyuan: {
		name: SiteTaoyuan, service: "letters",
		domains: []string{"north", "south", "east"}, domainLatency: time.Millisecond, callerLatency: 3 * time.Millisecond,
		entryHosts: 7, workers: 14, idempotent: false,
		engine:  engine.Config{TokenCapacity: 9000, MaxBatch: 48, StepBase: 20 * time.Millisecond, StepPerRunning: 400 * time.Microsecond},
		prompts: lengths{median: 350, sigma: 0.7, limit: 3000}, outputs: lengths{median: 90, sigma: 0.8, limit: 800},
		prefixes: 8, shares: tenOrganisations, peakTokens: 7400,
		firstTokenDeadline: 20 * time.Second, queueDeadline: 5 * time.Second, targetGap: 150 * time.Millisecond, placementRisk: 0.02,
	},
}

// Sites returns the valid values of Options.Site.
func Sites() []string { return []string{SiteAkarsu, SiteTaoyuan} }

func siteNamed(name string) (site, error) {
	s, ok := sites[name]
	if !ok {
		return site{}, errors.Newf("bench: unknown site %q, known are %v", name, Sites())
	}
	return s, nil
}

// domain returns the failure domain of the i-th machine of a kind.
func (s site) domain(i int) string { return s.domains[i%len(s.domains)] }

// latency returns the one-way latency between two failure domains. callers
// counts as a separate domain.
func (s site) latency(from, to string) time.Duration {
	switch {
	case from == callers || to == callers:
		return s.callerLatency
	case from == to:
		return 0
	}
	return s.domainLatency
}

// callers is the pseudo failure domain of callers.
const callers = "callers"
