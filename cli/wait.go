package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/operatorclient"
)

const (
	waitPoll     = 200 * time.Millisecond // interval between polls of the entry hosts
	waitParallel = 16                     // maximum number of concurrent requests
	memberGone   = "gone"                 // state of entry hosts that are not waited for
)

// waiter waits until a version of a service is in force everywhere.
//
// It queries every entry host directly. The versions that members gossip are those
// of the newest object of any kind, so a host may advertise a newer version because
// of another service and still lack this one.
type waiter struct {
	app      *App
	service  string
	version  uint64
	upToDate map[string]bool // incarnations of entry hosts with the version in force
	lagging  []string        // entry hosts without the version at the last poll
}

// waitService waits for a version of a service; zero: the current version.
func (a *App) waitService(ctx context.Context, service string, version uint64) error {
	if version != 0 {
		return a.wait(ctx, service, version)
	}
	current, err := a.currentDocument(ctx, service)
	if err != nil {
		return err
	}
	return a.wait(ctx, service, current.Version)
}

// wait returns when every entry host that is not gone has the version of the
// service, or a newer one, in force, or when ctx ends.
func (a *App) wait(ctx context.Context, service string, version uint64) error {
	w := &waiter{app: a, service: service, version: version, upToDate: map[string]bool{}}
	for {
		lagging, err := w.pollLagging(ctx)
		if err == nil {
			w.lagging = lagging
		}
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(a.Out, "version %d of %s is in force everywhere, on %d entry hosts\n", version, service, len(w.upToDate))
			return nil
		}
		if errors.Is(err, operatorclient.ErrUnauthorized) {
			return err
		}
		select {
		case <-ctx.Done():
			return w.timeoutError(err)
		case <-time.After(waitPoll):
		}
	}
}

func (w *waiter) timeoutError(err error) error {
	if len(w.lagging) == 0 {
		return errors.Wrapf(err, "version %d: no entry host says what is in force", w.version)
	}
	return errors.Newf("version %d of %s is not in force yet, or nobody answers, on: %s", w.version, w.service, strings.Join(w.lagging, ", "))
}

// pollLagging polls the entry hosts and returns those not known to have the version.
func (w *waiter) pollLagging(ctx context.Context) ([]string, error) {
	status, err := w.app.fetchStatus(ctx)
	if err != nil {
		return nil, err
	}
	waiting := slices.DeleteFunc(status.Members, func(m *operator.MemberStatus) bool { return m.State == memberGone || w.upToDate[incarnationKey(m)] })
	has := make([]bool, len(waiting))
	var group errgroup.Group
	group.SetLimit(waitParallel)
	for i, member := range waiting {
		group.Go(func() error {
			has[i] = w.inForce(ctx, member)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	var lagging []string
	for i, member := range waiting {
		if has[i] {
			w.upToDate[incarnationKey(member)] = true
		} else {
			lagging = append(lagging, member.Host)
		}
	}
	return lagging, nil
}

func incarnationKey(m *operator.MemberStatus) string {
	return fmt.Sprintf("%s/%d", m.Host, m.Incarnation)
}

// inForce queries an entry host and reports whether it has the version in force,
// or a newer one. Without an answer it returns false.
func (w *waiter) inForce(ctx context.Context, member *operator.MemberStatus) bool {
	token, err := w.app.bearer()
	if err != nil || member.CallerAddress == nil {
		return false
	}
	tlsConfig, err := w.app.tls()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, w.app.timeout)
	defer cancel()
	client := operatorclient.New(*member.CallerAddress, w.app.Network, tlsConfig)
	services, err := client.List(ctx, &operator.ListPayload{Token: token})
	if err != nil {
		return false
	}
	return slices.ContainsFunc(services, func(s *operator.ServiceInfo) bool {
		return s.Service == w.service && s.Version >= w.version
	})
}
