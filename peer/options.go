package peer

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/defaults"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/store"
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

// Completeness is an optional interface of a ConfigurationTable. It tracks
// whether the table has ever held a complete snapshot of all objects, and up to which
// version it has all changes.
type Completeness interface {
	// Complete reports whether the table has ever held a complete snapshot.
	Complete() bool
	// SetComplete records that the table holds a complete snapshot.
	SetComplete()
	// CompleteTo returns the version up to which the table has all changes; zero: not known.
	CompleteTo() store.Version
	// SetCompleteTo records the version up to which the table has all changes.
	SetCompleteTo(store.Version)
}

// ConfigurationTable is the configuration in force on this host, as needed to
// synchronise it between peers.
type ConfigurationTable interface {
	// Version is the newest version in the table.
	Version() store.Version
	// Digest is equal on two hosts that hold the same versions of the same
	// objects.
	Digest() uint64
	// Since returns the objects newer than a version, in order of version.
	Since(store.Version) []store.Object
	// Adopt stores the objects that are newer than those in the table, ignores
	// the others, and returns the number stored.
	Adopt([]store.Object) (int, error)
}

// Quarantine is the set of requests and prompt parts that crash backend servers, as needed to
// synchronise it between peers. *quarantine.Table implements it.
type Quarantine interface {
	// GossipRecords returns the records to include in the next gossip message.
	GossipRecords() []quarantine.Record
	// All returns all quarantined requests, for a host that joins.
	All() []quarantine.Record
	// Merge merges records received from another host and reports whether any
	// of them was new.
	Merge(records []quarantine.Record, source string) bool
	// GossipEvidence returns the evidence on parts of prompts to include in the next
	// gossip message.
	GossipEvidence() quarantine.Evidence
	// MergeEvidence merges evidence received from another host and reports whether
	// any of it was new.
	MergeEvidence(evidence quarantine.Evidence) bool
}

// RateLimits are the request rates that backend servers accept, as needed to
// synchronise them between peers. *fleet.Table implements it.
type RateLimits interface {
	// GossipRateLimits returns the records to include in the next gossip message.
	GossipRateLimits() []fleet.RateLimit
	// RateLimits returns all records, for a host that joins.
	RateLimits() []fleet.RateLimit
	// MergeRateLimits merges records received from another host and reports whether
	// any limit has begun or ended.
	MergeRateLimits(records []fleet.RateLimit) bool
}

// ColdServers are the backend servers that have reported to a host that they are cold, as
// needed to tell other hosts. *fleet.Table implements it.
type ColdServers interface {
	// GossipColdServers returns the news to include in the next gossip message.
	GossipColdServers() []fleet.ColdServer
	// ColdServers returns all news, for a host that joins.
	ColdServers() []fleet.ColdServer
	// MergeColdServers merges news from another host and reports whether any was new.
	MergeColdServers(news []fleet.ColdServer) bool
}

// Handler serves requests and records that other hosts send to this one.
type Handler interface {
	// Forward runs a request whose home is this host.
	Forward(context.Context, *peerpb.ForwardRequest) *peerpb.ForwardResponse
	// HandOver takes over the records of a stopping host.
	HandOver(context.Context, *peerpb.HandOverRequest) error
}

// Options configures a Node. Self, Network, Configuration and Handler are
// required; the others have defaults.
type Options struct {
	// Self describes this host. A zero Incarnation is set from the clock, in
	// milliseconds, so that a replacement host starts with a higher one.
	Self          Member
	Network       link.Network
	Seeds         []string // peer addresses contacted on joining
	Configuration ConfigurationTable
	Handler       Handler
	Quarantine    Quarantine    // nil: quarantine records are not exchanged
	RateLimits    RateLimits    // nil: rate limits are not exchanged
	ColdServers   ColdServers   // nil: not exchanged
	Backends      BackendDialer // nil: no tunnels are opened for other hosts
	Views         Views         // nil: this host does not answer requests for a view
	// Register adds services to the gRPC server for peers; nil: none.
	Register     func(grpc.ServiceRegistrar)
	Logger       *zap.Logger
	Registerer   prometheus.Registerer
	Scope        Scope
	Distribution Distribution

	ProbeInterval    time.Duration // one peer is probed per interval
	ProbeTimeout     time.Duration // for one exchange
	IndirectProbes   int           // hosts that probe a target indirectly before it is suspected
	SuspicionTimeout time.Duration // from suspicion until the host is declared gone
	GoneRetention    time.Duration // how long records of gone hosts are kept
	MaxConnections   int           // open outgoing connections of each pool (control, data)
	IdleTimeout      time.Duration // idle connections are closed after this time
	Seed             uint64        // of the random generator; zero: derived from host and incarnation
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
	if o.Quarantine == nil {
		o.Quarantine = noQuarantine{}
	}
	if o.RateLimits == nil {
		o.RateLimits = noRateLimits{}
	}
	if o.ColdServers == nil {
		o.ColdServers = noColdServers{}
	}
	if o.Backends == nil {
		o.Backends = noBackends{}
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
