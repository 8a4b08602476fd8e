// Package entryhost puts one entry host together: the interfaces towards
// callers and operators, relay, routing, configuration, membership and the
// order of a graceful stop.
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

// DefaultPolicy is the routing policy in force unless Options name another.
const DefaultPolicy = routing.PolicyForecast

// Options of a Host.
type Options struct {
	Settings *settings.Settings // required
	Network  link.Network       // default: TCP
	Store    store.Store        // required
	Policy   string             // routing policy, default DefaultPolicy
	Logger   *zap.Logger        // default: none
	Registry *prometheus.Registry
	// AnnounceDelay is the time between the announcement that the host is
	// leaving and its refusing new work, so that address answers get ahead
	// of it. Default 500 ms.
	AnnounceDelay time.Duration
	// BackendSilence is the longest silence on a stream from an engine before
	// a fresh connection is tried. Default 5 s.
	BackendSilence time.Duration
	ProbeInterval  time.Duration // of the membership; default from Settings
	// PollsPerSecond is the rate of load questions to backend servers. Default:
	// by the number of live entry hosts.
	PollsPerSecond float64
}

var errNoStore = errors.New("entry host: options name no store")

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
	if o.BackendSilence <= 0 {
		o.BackendSilence = defaultBackendSilence
	}
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = o.Settings.Limits.PeerProbePeriod
	}
	return o
}
