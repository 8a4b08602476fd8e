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
	waitPoll   = 200 * time.Millisecond // interval between polls of the entry hosts
	waitAtOnce = 16                     // maximum number of concurrent requests
	memberGone = "gone"                 // state of entry hosts that are not waited for
)

// waiter waits until a version of a service is in force everywhere.
//
// It queries every entry host directly. The versions that members gossip are those
// of the newest object of any kind, so a host may advertise a newer version because
// of another service and still lack this one.
type waiter struct {
	app     *App
	service string
	version uint64
	done    map[string]bool // incarnations of entry hosts with the version in force
	last    []string        // entry hosts without the version at the last poll
}

// waitService waits for a version of a service; zero: the current version.
func (a *App) waitService(ctx context.Context, service string, version uint64) error {
	if version != 0 {
		return a.wait(ctx, service, version)
	}
	current, err := a.current(ctx, service)
	if err != nil {
		return err
	}
	return a.wait(ctx, service, current.Version)
}

// wait returns when every entry host that is not gone has the version of the
// service, or a newer one, in force, or when ctx ends.
func (a *App) wait(ctx context.Context, service string, version uint64) error {
	w := &waiter{app: a, service: service, version: version, done: map[string]bool{}}
	for {
		behind, err := w.behind(ctx)
		if err == nil {
			w.last = behind
		}
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(a.Out, "version %d of %s is in force everywhere, on %d entry hosts\n", version, service, len(w.done))
			return nil
		}
		if errors.Is(err, operatorclient.ErrUnauthorized) {
			return err
		}
		select {
		case <-ctx.Done():
			return w.ended(err)
		case <-time.After(waitPoll):
		}
	}
}

func (w *waiter) ended(err error) error {
	if len(w.last) == 0 {
		return errors.Wrapf(err, "version %d: no entry host says what is in force", w.version)
	}
	return errors.Newf("version %d of %s is not in force yet, or nobody answers, on: %s", w.version, w.service, strings.Join(w.last, ", "))
}

// behind polls the entry hosts and returns those not known to have the version.
func (w *waiter) behind(ctx context.Context) ([]string, error) {
	status, err := w.app.askStatus(ctx)
	if err != nil {
		return nil, err
	}
	waiting := slices.DeleteFunc(status.Members, func(m *operator.MemberStatus) bool { return m.State == memberGone || w.done[life(m)] })
	has := make([]bool, len(waiting))
	var group errgroup.Group
	group.SetLimit(waitAtOnce)
	for i, member := range waiting {
		group.Go(func() error {
			has[i] = w.inForce(ctx, member)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	var behind []string
	for i, member := range waiting {
		if has[i] {
			w.done[life(member)] = true
		} else {
			behind = append(behind, member.Host)
		}
	}
	return behind, nil
}

func life(m *operator.MemberStatus) string { return fmt.Sprintf("%s/%d", m.Host, m.Incarnation) }

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
