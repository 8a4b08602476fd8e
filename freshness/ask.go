package freshness

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/peer"
)

// Label values of the refreshes counter.
const (
	sourceStore = "store"
	sourceHost  = "host"

	resultNew    = "new"
	resultOld    = "old"
	resultFailed = "failed"
)

// Metrics are the metrics of a Keeper.
type Metrics struct {
	requests *prometheus.CounterVec
	age      prometheus.Histogram
}

func (m *Metrics) count(source string, err error) {
	result := resultNew
	switch {
	case errors.Is(err, errOld):
		result = resultOld
	case err != nil:
		result = resultFailed
	}
	m.requests.WithLabelValues(source, result).Inc()
}

// source is a host that is asked for its view.
type source struct {
	host   string
	relay  bool          // asks the readers on behalf of others; else it reads the store
	maxAge time.Duration // oldest view that is accepted from it
}

func (s source) patience() time.Duration {
	if s.relay {
		return relayPatience
	}
	return readerPatience
}

// askInTurn asks sources until one has a new view: the next one after a failure, or when
// the one before has not answered for its patience. It returns nil, errOld if any source
// answered, or another error. When relaysAsked relays have no new view, the readers have
// none, and are not asked again.
func (k *Keeper) askInTurn(ctx context.Context, sources []source) error {
	sources = k.leastAvoidedFirst(sources)
	type result struct {
		source
		err error
	}
	results := make(chan result, len(sources))
	impatient := time.NewTimer(time.Hour)
	defer impatient.Stop()
	failure := error(errors.New("freshness: there is no other host"))
	asked := 0
	askNext := func() {
		if asked == len(sources) {
			return
		}
		next := sources[asked]
		asked++
		go func() { results <- result{next, k.ask(ctx, next)} }()
		impatient.Reset(next.patience())
	}
	askNext()
	for failed, oldRelays := 0, 0; failed < len(sources); {
		select {
		case r := <-results:
			if r.err == nil {
				return nil
			}
			if failed == 0 || !errors.Is(failure, errOld) {
				failure = r.err
			}
			failed++
			if r.relay && errors.Is(r.err, errOld) {
				oldRelays++
			}
			if oldRelays == relaysAsked {
				return failure
			}
			askNext()
		case <-impatient.C:
			k.avoid(sources[asked-1].host) // until it answers
			askNext()
		case <-ctx.Done():
			return errors.CombineErrors(failure, ctx.Err())
		}
	}
	return failure
}

// leastAvoidedFirst returns the sources with those that are avoided at the end.
func (k *Keeper) leastAvoidedFirst(sources []source) []source {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for host, until := range k.avoided {
		if now.After(until) {
			delete(k.avoided, host)
		}
	}
	ordered := slices.Clone(sources)
	slices.SortStableFunc(ordered, func(a, b source) int { return k.avoided[a.host].Compare(k.avoided[b.host]) })
	return ordered
}

func (k *Keeper) avoid(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.avoided == nil {
		k.avoided = map[string]time.Time{}
	}
	k.avoided[host] = time.Now().Add(avoidFor)
}

func (k *Keeper) stopAvoiding(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.avoided, host)
}

// ask refreshes the view from one host. It goes on when the context of the round has
// ended, since a silent connection shows only by a timeout.
func (k *Keeper) ask(ctx context.Context, s source) error {
	if s.host == k.Host {
		err := k.ReadStore(ctx)
		if errors.Is(err, errBackoff) {
			return errors.Mark(err, errOld)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	err := k.requestView(ctx, s)
	k.Metrics.count(sourceHost, err)
	switch {
	case err == nil:
		k.stopAvoiding(s.host)
	case !s.relay || !errors.Is(err, errOld): // during an outage relays are asked further on
		k.avoid(s.host)
	}
	return err
}

// requestView adopts what a host has, page by page, and its view. It returns errOld if
// that is too old.
func (k *Keeper) requestView(ctx context.Context, s source) error {
	for range maxViewPages {
		after := k.Table.CompleteTo()
		have := k.Table.HashesSince(after)
		request := peer.ViewRequest{After: after, Have: have[:min(maxHeld, len(have))], MaxAge: s.maxAge, AskOthers: s.relay}
		asked, suspended := time.Now(), k.suspended()
		answer, err := k.Fleet.RequestView(ctx, s.host, request)
		if err != nil {
			return err
		}
		if meanwhile := k.suspended() - suspended; meanwhile >= minSuspension {
			asked = asked.Add(-meanwhile)
		}
		k.observe(availabilityOf(answer, asked))
		k.Adopt(answer.Objects)
		if answer.More {
			k.Table.SetCompleteTo(answer.CompleteTo)
			continue
		}
		if before := k.Age(); answer.Age < before && before != moment.Never {
			k.Metrics.age.Observe(before.Seconds())
		}
		k.record(answer.CompleteTo, asked.Add(-answer.Age))
		if answer.Age > s.maxAge+transferAllowance {
			return errOld
		}
		return nil
	}
	return errOld
}

// availabilityOf returns what the answer to a request that was made at the given time
// shows. It claims no more than the answering host, however long the answer took.
func availabilityOf(answer peer.ViewAnswer, asked time.Time) availability {
	claim := answer.Available
	if claim.Since == 0 {
		if answer.Age == moment.Never {
			return availability{}
		}
		claim = peer.Availability{Since: answer.Age, Until: answer.Age} // the view shows one read
	}
	a := availability{from: time.Now().Add(-claim.Since), to: asked.Add(-claim.Until), afterOutage: claim.AfterOutage}
	switch late := a.from.Sub(a.to); {
	case late > transferAllowance:
		return availability{} // the time of the read is not known well enough
	case late > 0:
		a.to = a.from
	}
	return a
}

// startInquiry reports whether the readers have not been asked of the latest outage yet, and
// records that they are.
func (k *Keeper) startInquiry() bool {
	from := k.available.get().from
	k.mu.Lock()
	defer k.mu.Unlock()
	if from.Sub(k.asked).Abs() <= oldAge {
		return false
	}
	k.asked = from
	return true
}

// askWitnesses asks all readers at once what they know, and returns as soon as an answer
// shows that no outage has ended within d. The readers do not read the store for it.
func (k *Keeper) askWitnesses(ctx context.Context, d time.Duration) error {
	readers := slices.DeleteFunc(slices.Clone(k.viewSources().Readers), func(host string) bool { return host == k.Host })
	results := make(chan error, len(readers))
	for _, host := range readers {
		go func() { results <- k.requestView(ctx, source{host: host, maxAge: anyAge}) }()
	}
	var failure error
	for range readers {
		select {
		case err := <-results:
			failure = errors.CombineErrors(failure, err)
		case <-ctx.Done():
			return ctx.Err()
		}
		if k.SinceOutage() >= d {
			return nil
		}
	}
	return failure
}
