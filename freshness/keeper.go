// Package freshness bounds the age of a host's view of the platform's store: a time at
// which the host had all changes. Few hosts watch the store and deliver changes to the
// others; a host that hears nothing of them asks other hosts, and in the end the store.
package freshness

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/store"
)

const (
	msgOld    = "view of the store is old: nobody who was asked has a newer one"
	msgNew    = "view of the store is new again"
	msgTurned = "store does not answer this host's read for the fleet"

	msgOutageEnded   = "store answers again after an outage"
	msgOutageRefuted = "store answered other hosts in what this host took for an outage"
	msgUnsettled     = "other hosts do not say whether there was an outage of the store"
	msgSuspended     = "machine was suspended"

	// refreshAge is the age at which a host refreshes its view. Hosts that others ask are
	// earlier by roleLead for each role.
	refreshAge = 600 * time.Millisecond
	roleLead   = 35 * time.Millisecond
	// relaysAsked is the number of relays that a host asks before the readers.
	relaysAsked = 2
	// maxSourceAge is the oldest view that a host accepts from another one.
	maxSourceAge = 300 * time.Millisecond
	// anyAge is above the age of any view.
	anyAge = 24 * time.Hour
	// transferAllowance is how much older an answer may be that still counts as new.
	transferAllowance = 100 * time.Millisecond
	// readerPatience and relayPatience are the times after which the next host is asked.
	readerPatience = 150 * time.Millisecond
	relayPatience  = 250 * time.Millisecond
	// askTimeout bounds one request for a view, readTimeout one read of the store.
	askTimeout  = time.Second
	readTimeout = time.Second
	// roundTimeout bounds a refresh.
	roundTimeout = 2 * time.Second
	// avoidFor is how long a host is asked last that did not answer, or had no newer view.
	avoidFor = 2 * time.Second
	// activeCheckInterval is how often a starting host checks whether it is active.
	activeCheckInterval = 100 * time.Millisecond
	// oldAge is the age from which a view is reported as old, and a pause between reads of the
	// store is an outage.
	oldAge = 1500 * time.Millisecond
	// minSuspension is above the error of the clocks that show a suspension.
	minSuspension = 100 * time.Millisecond
	// settledCheckInterval is the interval at which AwaitSettled looks for newer evidence.
	settledCheckInterval = 50 * time.Millisecond
	// maxViewPages bounds the pages of one answer.
	maxViewPages = 64
	// maxHeld is the maximum number of hashes in a request.
	maxHeld = 512
	// readBackoff and readBackoffMax separate reads of a store that does not answer, and
	// refreshes that nobody answers.
	readBackoff    = 100 * time.Millisecond
	readBackoffMax = time.Second
)

var (
	errBackoff = errors.New("freshness: store has just failed to answer")
	errOld     = errors.New("freshness: host has no newer view")
)

// Table is the host's copy of the store's objects. *replica.Table implements it.
type Table interface {
	CompleteTo() store.Version
	SetCompleteTo(store.Version)
	HashesSince(after store.Version) []uint64
	Missing(after store.Version, have []uint64) []store.Object
}

// Fleet is the membership. *peer.Node implements it.
type Fleet interface {
	Self() peer.Member
	Members() []peer.Member
	Generation() uint64
	RequestView(ctx context.Context, host string, request peer.ViewRequest) (peer.ViewAnswer, error)
}

// Keeper keeps the view of one host fresh. All fields but Suspended are required.
type Keeper struct {
	Host  string
	Fleet Fleet
	Table Table
	// Adopt adopts objects that another host has sent.
	Adopt func([]store.Object)
	// Active reports whether this host has begun to serve; before, its table is not complete.
	Active func() bool
	// Read reads the changes after a version from the store into the table, and returns the
	// version up to which the table then has all of them.
	Read func(ctx context.Context, after store.Version) (store.Version, error)
	// Suspended returns for how long the machine has been suspended in all; nil: never.
	Suspended func() time.Duration
	Logger    *zap.Logger
	Metrics   *Metrics

	flights singleflight.Group // refreshes and reads that callers share; see once

	asOf      moment.Moment // when this host had all changes
	active    moment.Moment // when Run found this host active
	available availabilityTable

	mu      sync.Mutex           // guards all below, and writing asOf; locked before the table's
	avoided map[string]time.Time // hosts that are asked last, until the given time
	backoff store.Backoff        // of reads
	readAt  time.Time            // no read before, as the store did not answer
	asked   time.Time            // end of the latest outage of which the readers were asked
	sources *domain.Sources      // computed at generation at; nil: not yet
	at      uint64
}

// Age returns the time since a moment at which this host had all changes of the store,
// or moment.Never.
func (k *Keeper) Age() time.Duration { return k.asOf.Age() }

// SinceOutage returns the time since the store answered again after an outage, in which no
// host read it. It is zero during an outage, and moment.Never if there was none since this
// host began to serve. A time in which this host stood still, or was cut off, counts as an
// outage until another host shows that it read the store meanwhile.
func (k *Keeper) SinceOutage() time.Duration {
	active := k.active.Age()
	if active == moment.Never {
		return moment.Never
	}
	k.noteSuspension()
	known := k.available.get()
	silence := active
	if !known.to.IsZero() {
		silence = min(silence, time.Since(known.to))
	}
	switch {
	case silence > oldAge:
		return 0
	case !known.afterOutage:
		return moment.Never
	}
	return time.Since(known.from)
}

// Settled reports whether this host has a view of the store that is at least d newer than
// the end of its latest outage.
func (k *Keeper) Settled(d time.Duration) bool {
	since := k.SinceOutage()
	return since == moment.Never || since-min(since, k.Age()) >= d
}

// AwaitSettled waits until Settled. It asks other hosts whether they read the store in what
// this host takes for an outage, and after d for a newer view. It returns the error of ctx.
func (k *Keeper) AwaitSettled(ctx context.Context, d time.Duration) error {
	for !k.Settled(d) {
		var err error
		switch since := k.SinceOutage(); {
		case since == 0: // Run refreshes the view
		case since > d:
			err = k.once(ctx, "settled", roundTimeout, func(ctx context.Context) error {
				return k.askOrRead(ctx, readersOf(k.viewSources(), since-d))
			})
		case k.startInquiry():
			err = k.once(ctx, "witnesses", askTimeout, func(ctx context.Context) error { return k.askWitnesses(ctx, d) })
		}
		if err != nil && ctx.Err() == nil {
			k.Logger.Debug(msgUnsettled, zap.Error(err))
		}
		if k.Settled(d) {
			break
		}
		if err := sleep.For(ctx, settledCheckInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// noteSuspension counts the time for which the machine was suspended as a silence of this
// host. The age of its view is corrected by the next refresh.
func (k *Keeper) noteSuspension() {
	if since := k.available.correct(k.suspended()); since > 0 {
		k.Logger.Info(msgSuspended, zap.Duration("for", since))
	}
}

func (k *Keeper) suspended() time.Duration {
	if k.Suspended == nil {
		return 0
	}
	return k.Suspended()
}

// observe records that the store answered some host.
func (k *Keeper) observe(a availability) {
	if k.active.Age() == moment.Never {
		return // a starting host does not refresh its view: a pause would look like an outage
	}
	k.noteSuspension()
	before, after := k.available.merge(a)
	switch {
	case after.afterOutage && after.from.Sub(before.to) > oldAge && !before.to.IsZero():
		k.Logger.Info(msgOutageEnded, zap.Duration("lasted", after.from.Sub(before.to)))
	case before.afterOutage && after.from.Before(before.from):
		k.Logger.Info(msgOutageRefuted, zap.Duration("available", time.Since(after.from)), zap.Bool("earlier_outage", after.afterOutage))
	}
}

// record records that the table has all changes up to a version, which were all at the
// given time.
func (k *Keeper) record(completeTo store.Version, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Table.SetCompleteTo(completeTo)
	if time.Since(at) < k.asOf.Age() {
		k.asOf.Mark(at)
	}
}

// Confirm records that the store's revision was the given one at a time, as another read
// of this host has shown.
func (k *Keeper) Confirm(revision store.Version, at time.Time) {
	k.observe(availability{from: at, to: at})
	if completeTo := k.Table.CompleteTo(); revision <= completeTo {
		k.record(completeTo, at)
	}
}

// Run refreshes the view whenever it is too old, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	backoff := store.Backoff{Initial: readBackoff, Max: readBackoffMax}
	old := false
	for ctx.Err() == nil {
		left := k.refreshAge() - k.Age()
		if !k.Active() {
			left = activeCheckInterval
		}
		if left > 0 {
			if err := sleep.For(ctx, left); err != nil {
				return err
			}
			continue
		}
		if k.active.Age() == moment.Never {
			k.active.Mark(time.Now())
		}
		err := k.refresh(ctx)
		if err == nil && k.Age() >= k.refreshAge() {
			err = errOld // otherwise the next refresh would follow without a pause
		}
		if age := k.Age(); age > oldAge != old && ctx.Err() == nil {
			old = !old
			k.logOld(old, age, err)
		}
		if err == nil {
			backoff.Reset()
		} else if err := backoff.Wait(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (k *Keeper) logOld(old bool, age time.Duration, err error) {
	if old {
		k.Logger.Warn(msgOld, zap.Duration("age", age), zap.Error(err))
		return
	}
	k.Logger.Info(msgNew, zap.Duration("age", age))
}

func (k *Keeper) refreshAge() time.Duration {
	return refreshAge - time.Duration(k.viewSources().Role)*roleLead
}

// viewSources returns the sources, computed once for each generation of the membership.
func (k *Keeper) viewSources() *domain.Sources {
	generation := k.Fleet.Generation()
	k.mu.Lock()
	known, at := k.sources, k.at
	k.mu.Unlock()
	if known != nil && at == generation {
		return known
	}
	s := domain.ViewSources(k.Fleet.Members(), k.Fleet.Self())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sources, k.at = &s, generation
	return &s
}

// refresh asks two relays of a large domain, and then the readers. Only hosts that are no
// source ask relays.
func (k *Keeper) refresh(ctx context.Context) error {
	s := k.viewSources()
	if len(s.Relays) == 0 || s.Role != domain.NoSource {
		return k.askReaders(ctx)
	}
	var sources []source
	for _, host := range s.Relays[:min(relaysAsked, len(s.Relays))] {
		sources = append(sources, source{host: host, relay: true, maxAge: maxSourceAge})
	}
	return k.askOrRead(ctx, append(sources, readersOf(s, maxSourceAge)...))
}

// askReaders asks the readers, once for all that wait.
func (k *Keeper) askReaders(ctx context.Context) error {
	return k.once(ctx, "readers", roundTimeout, func(ctx context.Context) error {
		return k.askOrRead(ctx, readersOf(k.viewSources(), maxSourceAge))
	})
}

func readersOf(s *domain.Sources, maxAge time.Duration) []source {
	sources := make([]source, 0, len(s.Readers))
	for _, host := range s.Readers {
		sources = append(sources, source{host: host, maxAge: maxAge})
	}
	return sources
}

// askOrRead asks sources in turn. If none of them answers, this host is cut off from the
// others and reads the store itself.
func (k *Keeper) askOrRead(ctx context.Context, sources []source) error {
	err := k.askInTurn(ctx, sources)
	if err == nil || errors.Is(err, errOld) {
		return err
	}
	return k.ReadStore(ctx)
}

// ReadStore reads the store, once for all that wait. After a failure it returns an error
// for a while without a call.
func (k *Keeper) ReadStore(ctx context.Context) error {
	return k.once(ctx, "store", readTimeout, func(ctx context.Context) error {
		k.mu.Lock()
		wait := time.Until(k.readAt)
		k.mu.Unlock()
		if wait > 0 {
			return errBackoff
		}
		started := time.Now()
		completeTo, err := k.Read(ctx, k.Table.CompleteTo())
		k.recordRead(err)
		if err == nil {
			k.observe(availability{from: started, to: started})
			k.record(completeTo, started)
		}
		return err
	})
}

// recordRead records whether the store answered.
func (k *Keeper) recordRead(err error) {
	k.Metrics.count(sourceStore, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.backoff.Reset()
		return
	}
	k.backoff.Initial, k.backoff.Max = readBackoff, readBackoffMax
	k.readAt = time.Now().Add(k.backoff.Next())
	k.Logger.Debug(msgTurned, zap.Error(err))
}

// once runs f for all concurrent callers with the same name. It does not end with the
// context of one of them.
func (k *Keeper) once(ctx context.Context, name string, timeout time.Duration, f func(context.Context) error) error {
	result := k.flights.DoChan(name, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		return nil, f(ctx)
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AnswerView implements peer.Views.
func (k *Keeper) AnswerView(ctx context.Context, request peer.ViewRequest) peer.ViewAnswer {
	if k.Age() > request.MaxAge && k.Active() {
		// After an error the answer has what there is.
		if request.AskOthers {
			_ = k.askReaders(ctx)
		} else {
			_ = k.ReadStore(ctx)
		}
	}
	k.mu.Lock()
	age, completeTo := k.asOf.Age(), k.Table.CompleteTo()
	k.mu.Unlock()
	answer := peer.ViewAnswer{Objects: k.Table.Missing(request.After, request.Have), CompleteTo: completeTo, Age: age}
	k.noteSuspension()
	if known := k.available.get(); !known.to.IsZero() {
		answer.Available = peer.Availability{Since: time.Since(known.from), Until: time.Since(known.to), AfterOutage: known.afterOutage}
	}
	return answer
}

// NewMetrics returns the metrics of a Keeper, registered with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "papayasail", Subsystem: "view", Name: "refreshes_total",
			Help: "Questions for a newer view of the store, by the source that was asked and the result.",
		}, []string{"source", "result"}),
		age: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "papayasail", Subsystem: "view", Name: "age_seconds",
			Help:    "Age of the view of the store when it was replaced by a newer one.",
			Buckets: []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3, 5, 10},
		}),
	}
	registerer.MustRegister(m.requests, m.age)
	return m
}
