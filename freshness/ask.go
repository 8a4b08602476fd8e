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

// askInTurn asks hosts until one has a new view: the next one after a failure, or when
// the one before has not answered for its patience. It returns nil, errOld if any host
// answered, or another error.
func (k *Keeper) askInTurn(ctx context.Context, hosts []string, relays bool) error {
	hosts = k.leastAvoidedFirst(hosts)
	patience := readerPatience
	if relays {
		patience = relayPatience
	}
	results := make(chan error, len(hosts))
	impatient := time.NewTimer(patience)
	defer impatient.Stop()
	failure := error(errors.New("freshness: there is no other host"))
	next := hosts
	askNext := func() {
		if len(next) == 0 {
			return
		}
		host := next[0]
		next = next[1:]
		go func() { results <- k.ask(ctx, host, relays) }()
		impatient.Reset(patience)
	}
	askNext()
	for failed := 0; failed < len(hosts); {
		select {
		case err := <-results:
			if err == nil {
				return nil
			}
			if failed == 0 || !errors.Is(failure, errOld) {
				failure = err
			}
			failed++
			askNext()
		case <-impatient.C:
			k.avoid(hosts[len(hosts)-len(next)-1]) // until it answers
			askNext()
		case <-ctx.Done():
			return errors.CombineErrors(failure, ctx.Err())
		}
	}
	return failure
}

// leastAvoidedFirst returns the hosts with those that are avoided at the end.
func (k *Keeper) leastAvoidedFirst(hosts []string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for host, until := range k.avoided {
		if now.After(until) {
			delete(k.avoided, host)
		}
	}
	ordered := slices.Clone(hosts)
	slices.SortStableFunc(ordered, func(a, b string) int { return k.avoided[a].Compare(k.avoided[b]) })
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
func (k *Keeper) ask(ctx context.Context, host string, relay bool) error {
	if host == k.Host {
		err := k.ReadStore(ctx)
		if errors.Is(err, errBackoff) {
			return errors.Mark(err, errOld)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	err := k.requestView(ctx, host, relay)
	k.Metrics.count(sourceHost, err)
	if err == nil {
		k.stopAvoiding(host)
	} else {
		k.avoid(host)
	}
	return err
}

// requestView adopts what a host has, page by page, and its view. It returns errOld if
// that is too old.
func (k *Keeper) requestView(ctx context.Context, host string, relay bool) error {
	for range maxViewPages {
		after := k.Table.CompleteTo()
		have := k.Table.HashesSince(after)
		request := peer.ViewRequest{After: after, Have: have[:min(maxHeld, len(have))], MaxAge: maxSourceAge, AskOthers: relay}
		asked := time.Now()
		answer, err := k.Fleet.RequestView(ctx, host, request)
		if err != nil {
			return err
		}
		k.Adopt(answer.Objects)
		if answer.More {
			k.Table.SetCompleteTo(answer.CompleteTo)
			continue
		}
		if before := k.Age(); answer.Age < before && before != moment.Never {
			k.Metrics.age.Observe(before.Seconds())
		}
		k.record(answer.CompleteTo, asked.Add(-answer.Age))
		if answer.Age > maxSourceAge+transferAllowance {
			return errOld
		}
		return nil
	}
	return errOld
}
