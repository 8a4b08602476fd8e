// Package entryhost assembles an entry host: the HTTP interfaces for callers and
// operators, relay, routing, configuration, membership and the graceful stop.
package entryhost

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/routing"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

// DefaultPolicy is the routing policy used if Options.Policy is empty.
const DefaultPolicy = routing.PolicyForecast

// Options configures a Host.
type Options struct {
	Settings *settings.Settings // required
	Network  link.Network       // default: TCP
	Store    store.Store        // required
	Policy   string             // routing policy, default DefaultPolicy
	Logger   *zap.Logger        // default: no logging
	Registry *prometheus.Registry
	// AnnounceDelay is the time between the announcement that the host is
	// leaving and the refusal of new work. Within this time the host disappears
	// from address responses. Default 500 ms.
	AnnounceDelay time.Duration
	// BackendReadTimeout is the maximum time until the response header of a
	// stream from an engine, and until each further event or comment if the
	// service has no gap deadline, before a new connection is tried. Default 5 s.
	BackendReadTimeout time.Duration
	ProbeInterval      time.Duration // of the membership probes; default from Settings
	// PollsPerSecond is the rate of load polls to backend servers. Default:
	// derived from the number of live entry hosts.
	PollsPerSecond float64
}

var errNoStore = errors.New("entry host: Options.Store is not set")

const (
	defaultAnnounceDelay  = 500 * time.Millisecond
	defaultBackendSilence = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Network == nil {
		o.Network = link.TCP{}
	}
	if o.Policy == "" {
		o.Policy = DefaultPolicy
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.AnnounceDelay <= 0 {
		o.AnnounceDelay = defaultAnnounceDelay
	}
	if o.BackendReadTimeout <= 0 {
		o.BackendReadTimeout = defaultBackendSilence
	}
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = o.Settings.Limits.PeerProbePeriod
	}
	return o
}
