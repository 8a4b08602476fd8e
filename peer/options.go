package peer

import (
	"context"
	"time"

	"github.com/papayasail/papayasail/internal/defaults"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/store"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// Defaults of Options.
const (
	DefaultProbeInterval    = time.Second
	DefaultProbeTimeout     = 500 * time.Millisecond
	DefaultIndirectProbes   = 3
	DefaultSuspicionTimeout = 8 * time.Second
	DefaultGoneRetention    = time.Hour
	DefaultMaxConnections   = 24
	DefaultIdleTimeout      = 2 * time.Minute
)

// Completeness is what a ConfigurationTable may offer besides: whether it has
// had all objects that there were at one moment, and taking note that it has.
type Completeness interface {
	Complete() bool
	SetComplete()
}

// ConfigurationTable is the configuration in force on this host, as the
// spreading between peers needs it.
type ConfigurationTable interface {
	// Version is the newest version held.
	Version() store.Version
	// Digest is equal on two hosts that hold the same versions of the same objects.
	Digest() uint64
	// Since returns the objects newer than a version, in order of version.
	Since(store.Version) []store.Object
	// Adopt takes in objects that are newer than those held, ignores the
	// others, and returns how many it took.
	Adopt([]store.Object) (int, error)
}

// Suspects is what this host knows of requests that crash backend servers, as
// the spreading between peers needs it; *quarantine.Table is one.
type Suspects interface {
	// News returns the records for one message.
	News() []quarantine.Record
	// All returns the quarantined requests, for a host that joins.
	All() []quarantine.Record
	// Merge takes in what another host knows, and reports whether any of it was
	// news.
	Merge(records []quarantine.Record, source string) bool
}

// Handler serves what other hosts pass to this one.
type Handler interface {
	// Forward runs a request whose home is this host.
	Forward(context.Context, *peerpb.ForwardRequest) *peerpb.ForwardResponse
	// HandOver takes over records of a stopping host.
	HandOver(context.Context, *peerpb.HandOverRequest) error
}

// Options configures a Node. Self, Network, Configuration and Handler are
// required; zero values of the others stand for the defaults.
type Options struct {
	// Self names this host. A zero Incarnation is set from the clock, in
	// milliseconds, so that a replaced host comes up with a higher one.
	Self          Member
	Network       link.Network
	Seeds         []string // peer addresses asked on joining
	Configuration ConfigurationTable
	Handler       Handler
	Suspects      Suspects // nil: none are known
	// Register adds services to the server that peers call; nil: none.
	Register   func(grpc.ServiceRegistrar)
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Scope      Scope

	ProbeInterval    time.Duration // one peer is probed per interval
	ProbeTimeout     time.Duration // for one exchange
	IndirectProbes   int           // helpers asked before a suspicion
	SuspicionTimeout time.Duration // from suspicion until the host counts as gone
	GoneRetention    time.Duration // how long hosts that are gone are remembered
	MaxConnections   int           // outgoing control connections kept open
	IdleTimeout      time.Duration // unused connections are closed after it
	Seed             uint64        // of random choices; zero: from host and incarnation
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&o.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&o.IndirectProbes, DefaultIndirectProbes)
	defaults.Set(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	defaults.Set(&o.GoneRetention, DefaultGoneRetention)
	defaults.Set(&o.MaxConnections, DefaultMaxConnections)
	defaults.Set(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&o.Self.Incarnation, uint64(time.Now().UnixMilli()))
	defaults.Set(&o.Seed, hashStrings(o.Self.Host)^o.Self.Incarnation)
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	o.Scope = o.Scope.withDefaults()
	o.Self.State = StateAlive
	return o
}
