package link

import (
	"cmp"
	"crypto/tls"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/bytebudget"
	"github.com/papayasail/papayasail/internal/defaults"
)

const (
	defaultIntakeMemory = 64 << 20
	// reservedDescriptors are those for files.
	reservedDescriptors = 200
	// minConnections is the smallest default of IntakeOptions.Connections.
	minConnections = 16
	// intakeLogInterval is the interval between two log lines on ended connections.
	intakeLogInterval = time.Second
	// modestBytes is how much a connection may hold and still end others that hold less.
	modestBytes = 64 << 10
	// beginningTime is how long a connection counts as one that has just begun.
	beginningTime = 100 * time.Millisecond
	// freeTimeout is the longest wait for the memory of an ended request.
	freeTimeout = time.Second
	// closingDivisor divides the limit of connections: so many more may be open while they
	// are being closed.
	closingDivisor = 4
	// closingInterval is the interval between checks whether ended connections have closed,
	// and closingTimeout the longest wait for them.
	closingInterval = 2 * time.Millisecond
	closingTimeout  = time.Second
)

const msgIntakeFull = "connections of callers ended: they hold as much as the host bears"

// IntakeOptions configure an Intake. All fields are optional.
type IntakeOptions struct {
	// Memory bounds what callers make the host hold, in bytes; default 64 MiB.
	Memory int64
	// Connections bounds the open connections of callers; default: ConnectionsFor(0).
	Connections int
	// MaxHeadBytes returns the limit of a request's head, in bytes; nil: only the HTTP
	// server's limit holds. Heads over it are answered 431.
	MaxHeadBytes func() int
	// RefusalType and RefusalBody are the content type and the body of the answer to a
	// request that is refused as not run.
	RefusalType string
	RefusalBody []byte
	Logger      *zap.Logger
	Registerer  prometheus.Registerer
}

// ConnectionsFor returns how many connections callers may open to a process that may have so
// many descriptors; zero: as many as the operating system allows. The other descriptors are
// for files, backend servers, the store and other hosts.
func ConnectionsFor(descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if descriptors == 0 || int(limit.Cur) < descriptors {
			descriptors = int(limit.Cur)
		}
	}
	if descriptors == 0 {
		return math.MaxInt32 // the operating system sets no limit
	}
	return max(minConnections, (descriptors-reservedDescriptors)/2)
}

// Intake bounds what callers make a host hold, over all servers that share it: open
// connections, and the memory of connections, heads and bodies. Heads count while they are
// read, before they are decoded.
//
// At a limit, connections without a whole request are ended first, those first that have
// held most for longest. Next are idle connections, from the oldest, and then connections
// that have just begun. A request that has arrived whole is not cut off. All methods may be called from any goroutine.
type Intake struct {
	options IntakeOptions
	budget  *bytebudget.Budget
	refusal []byte // answer to a request whose head is not read to its end
	ended   *prometheus.CounterVec

	mu       sync.Mutex // guards the fields below and those of holdings; acquired before the lock of budget
	open     map[*holding]struct{}
	evicted  int       // of the open connections
	loggedAt time.Time // last log line
	unlogged int       // connections ended since then
}

// NewIntake returns an intake without connections.
func NewIntake(o IntakeOptions) *Intake {
	defaults.Set(&o.Memory, defaultIntakeMemory)
	if o.Connections == 0 {
		o.Connections = ConnectionsFor(0)
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	i := &Intake{options: o, budget: bytebudget.New(o.Memory), open: map[*holding]struct{}{}}
	i.budget.MakeRoom = i.makeRoom
	i.ended = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_intake_ended_total",
		Help: "Connections of callers that were ended because callers hold as much as the host bears, by what they were doing.",
	}, []string{"phase"})
	if o.Registerer != nil {
		o.Registerer.MustRegister(i.ended, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "papayasail_intake_connections", Help: "Open connections of callers.",
		}, func() float64 { return float64(i.Connections()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "papayasail_intake_memory_bytes", Help: "Memory that callers' connections, heads and bodies count for.",
		}, func() float64 { return float64(i.budget.Total() - i.budget.Free()) }))
	}
	i.refusal = i.encodeRefusal()
	return i
}

// Connections returns the number of open connections.
func (i *Intake) Connections() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.open)
}

// Budget returns the memory that callers share.
func (i *Intake) Budget() *bytebudget.Budget { return i.budget }

// admit accounts for a new connection. It returns nil if there is no room for it. It does not
// wait until the connections that it ends have closed: others wait to be accepted.
func (i *Intake) admit(conn net.Conn) *holding {
	h := &holding{intake: i, conn: conn, account: i.budget.NewAccount(), idleBytes: connectionBytes, since: time.Now(), freed: make(chan struct{})}
	if _, secure := conn.(*tls.Conn); secure {
		h.idleBytes += secureBytes
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	short := i.budget.Free() < h.idleBytes
	for short || len(i.open)-i.evicted >= i.options.Connections {
		victim := i.victim(h, h.idleBytes)
		if victim == nil {
			i.recordEnd(phaseAccepted)
			return nil
		}
		i.evict(victim)
		short = false // the memory of one is enough once it is free
	}
	h.account.Overdraw(h.idleBytes)
	i.open[h] = struct{}{}
	return h
}

// awaitClosed waits while too many ended connections have not closed yet.
func (i *Intake) awaitClosed() {
	most := i.options.Connections + i.options.Connections/closingDivisor
	for end := time.Now().Add(closingTimeout); i.Connections() > most && time.Now().Before(end); {
		time.Sleep(closingInterval)
	}
}

// makeRoom ends a connection in favour of one that needs more memory, and waits until its
// memory is free.
func (i *Intake) makeRoom(account *bytebudget.Account, more int64) bool {
	held := account.Held()
	if held+2*more > i.budget.Total() {
		return false
	}
	freed := i.evictFor(account, held+more)
	if freed == nil {
		return false
	}
	timeout := time.NewTimer(freeTimeout)
	defer timeout.Stop()
	select {
	case <-freed:
		return true
	case <-timeout.C:
		return false
	}
}

// evictFor ends a connection so that another one can hold the given memory. The result is
// closed when the memory is free; nil: there is no connection to end.
func (i *Intake) evictFor(account *bytebudget.Account, memory int64) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	for h := range i.open {
		if h.account != account {
			continue
		}
		victim := i.victim(h, memory)
		if victim == nil {
			return nil
		}
		i.evict(victim)
		return victim.freed
	}
	return nil
}

// victim returns the connection that is ended so that another one can hold the given memory;
// nil: there is none. A connection that holds much ends only those that hold as much. One that
// has just begun and holds little is ended only after the idle ones: its request is probably
// on its way. Requires mu.
func (i *Intake) victim(by *holding, memory int64) *holding {
	now := time.Now()
	weigh := func(h *holding, held int64) float64 { return float64(held) * now.Sub(h.since).Seconds() }
	var heaviest, idle, recent *holding
	own := weigh(by, memory)
	most, mostRecent := own, own
	for h := range i.open {
		held := h.account.Held()
		if h == by || h.evicted || memory > modestBytes && held < memory {
			continue
		}
		switch h.phase {
		case phaseServing:
		case phaseIdle:
			if idle == nil || h.since.Before(idle.since) {
				idle = h
			}
		default:
			weight := weigh(h, held)
			if held <= modestBytes && now.Sub(h.since) < beginningTime {
				if weight > mostRecent {
					recent, mostRecent = h, weight
				}
			} else if weight > most {
				heaviest, most = h, weight
			}
		}
	}
	return cmp.Or(heaviest, idle, recent)
}

// evict ends a connection. Its memory counts as free at once if it has no request, and else
// when the reader or the handler of the request has returned. Requires mu.
func (i *Intake) evict(h *holding) {
	i.recordEnd(h.phase)
	h.evicted = true
	i.evicted++
	h.account.Revoke()
	if h.phase == phaseAccepted || h.phase == phaseIdle {
		h.free()
	}
	_ = h.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// recordEnd counts and logs that a connection is ended. Requires mu.
func (i *Intake) recordEnd(p phase) {
	i.ended.WithLabelValues(p.String()).Inc()
	i.unlogged++
	now := time.Now()
	if now.Sub(i.loggedAt) < intakeLogInterval {
		return
	}
	i.options.Logger.Warn(msgIntakeFull, zap.Int("ended", i.unlogged), zap.Stringer("last_phase", p), zap.Int("connections", len(i.open)),
		zap.Int("max_connections", i.options.Connections), zap.Int64("memory_bytes", i.budget.Total()-i.budget.Free()), zap.Int64("max_memory_bytes", i.budget.Total()))
	i.loggedAt, i.unlogged = now, 0
}
