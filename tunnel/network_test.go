package tunnel

import (
	"context"
	"fmt"
	"net"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// world is this host's network and its peers. Addresses "up-..." are sound servers.
type world struct {
	link.Network

	direct  map[string]error             // result of a direct dial; nil: it works
	answers map[string]*peer.TunnelError // by host; nil: it opens tunnels
	leaving []string                     // hosts that stop
	asked   []string
}

func (w *world) Dial(ctx context.Context, address string) (net.Conn, error) {
	err := w.direct[address]
	if errors.Is(err, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	if err != nil {
		return nil, err
	}
	return pipe(), nil
}

func pipe() net.Conn {
	conn, _ := net.Pipe()
	return conn
}

func (w *world) Members() (members []peer.Member) {
	for host := range w.answers {
		m := peer.Member{Host: host, State: peer.StateAlive, FailureDomain: host[:1]}
		if slices.Contains(w.leaving, host) {
			m.State = peer.StateLeaving
		}
		members = append(members, m)
	}
	return append(members, peer.Member{Host: "me", State: peer.StateAlive, FailureDomain: "a"})
}

func (w *world) Generation() uint64 { return 1 }

func (w *world) OpenTunnel(_ context.Context, host, _ string) (net.Conn, error) {
	w.asked = append(w.asked, host)
	if answer := w.answers[host]; answer != nil {
		return nil, answer
	}
	return pipe(), nil
}

func newNetwork(w *world) *Network {
	return NewNetwork(Options{
		Host: "me", Domain: "a", Direct: w, Peers: w, Logger: zap.NewNop(), Registerer: prometheus.NewRegistry(),
		ServiceAt: func(address string) (string, bool) { return "s", address != "unlisted" },
	})
}

func answer(result peerpb.TunnelResult, cutOff bool) *peer.TunnelError {
	return &peer.TunnelError{Result: result, CutOff: cutOff}
}

// Guards against sound servers that count as ended because this host and the ones that it
// asks are cut off, and against ended ones that do not because others ended too.
func TestErrorTellsLostPathsFromEndedServers(t *testing.T) {
	refused, silent := syscall.ECONNREFUSED, context.DeadlineExceeded
	refusal, unreachable := answer(peerpb.TunnelResult_REFUSED, false), answer(peerpb.TunnelResult_UNREACHABLE, false)
	cutRefusal, cutUnreachable := answer(peerpb.TunnelResult_REFUSED, true), answer(peerpb.TunnelResult_UNREACHABLE, true)
	for name, c := range map[string]struct {
		direct      error
		others      map[string]error // results of earlier dials of other servers
		sound       bool             // those servers are reached through other hosts
		helpers     []*peer.TunnelError
		ended, lost bool
	}{
		"alone, refused":                            {direct: refused, ended: true},
		"alone, no answer":                          {direct: silent, lost: true},
		"alone, no answer, others work":             {direct: silent, others: map[string]error{"b": nil}},
		"a host that reaches others finds it ended": {direct: silent, helpers: []*peer.TunnelError{refusal}, ended: true},
		"cut-off hosts agree":                       {direct: refused, helpers: []*peer.TunnelError{cutRefusal, cutRefusal}, ended: true},
		"cut off like the hosts that were asked":    {direct: refused, others: map[string]error{"b": refused, "c": refused}, sound: true, helpers: []*peer.TunnelError{cutRefusal, cutUnreachable}, lost: true},
		"ended like most others":                    {direct: refused, others: map[string]error{"b": refused, "c": refused, "d": nil}, helpers: []*peer.TunnelError{refusal, unreachable}, ended: true},
		"no answer, as to a sound server":           {direct: silent, others: map[string]error{"b": silent}, sound: true, helpers: []*peer.TunnelError{unreachable}, lost: true},
		"no answer, others work":                    {direct: silent, others: map[string]error{"b": nil, "c": silent}, helpers: []*peer.TunnelError{unreachable}},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := &world{direct: map[string]error{}, answers: map[string]*peer.TunnelError{}}
			n := newNetwork(w)
			for address, result := range c.others {
				w.direct[address] = result
				w.answers["x"] = cutUnreachable
				if c.sound {
					w.answers["x"] = nil
				}
				if conn, err := n.Dial(t.Context(), address); err == nil {
					conn.Close()
				}
			}
			time.Sleep(time.Second) // dials that are still running end
			n = rewire(n, w, c.helpers)
			w.direct["server"] = c.direct
			_, err := n.Dial(t.Context(), "server")
			t.Logf("%s: %v", name, err)
			is.True(err != nil)
			is.Equal(link.Refused(nil, err), c.ended)
			is.Equal(errors.Is(err, link.ErrPathLost), c.lost)
			time.Sleep(time.Second)
		})
	}
}

// rewire replaces the other hosts.
func rewire(n *Network, w *world, helpers []*peer.TunnelError) *Network {
	w.answers = map[string]*peer.TunnelError{}
	for i, h := range helpers {
		w.answers[fmt.Sprintf("b%d", i)] = h
	}
	n.helpers = newHelpers(n.options)
	return n
}

// Guards against dials that ask hosts which could not help before, and leave out
// those that can.
func TestHostsThatCouldNotHelpAreAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{direct: map[string]error{"server": syscall.ECONNREFUSED}, answers: map[string]*peer.TunnelError{}}
		for i := range 20 {
			w.answers[fmt.Sprintf("c%02d", i)] = answer(peerpb.TunnelResult_UNREACHABLE, true)
		}
		w.answers["d00"] = nil
		n := newNetwork(w)
		failed := 0
		for range 100 {
			conn, err := n.Dial(t.Context(), "server")
			if err != nil {
				failed++
				continue
			}
			conn.Close()
		}
		is.True(failed <= 20/maxHelpers) // each failure rules out maxHelpers hosts
		w.asked = nil
		_, err := n.Dial(t.Context(), "server")
		is.NoErr(err)
		is.Equal(w.asked, []string{"d00"})
	})
}

// Guards against cut-off hosts that reach nobody although a host that stops still could
// help, and against use of such a host while others help.
func TestLeavingHostsAreAskedAfterTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{direct: map[string]error{"server": syscall.ECONNREFUSED}, answers: map[string]*peer.TunnelError{"b0": nil, "c0": nil}, leaving: []string{"b0"}}
		n := newNetwork(w)
		for range 10 {
			_, err := n.Dial(t.Context(), "server")
			is.NoErr(err)
		}
		is.True(!slices.Contains(w.asked, "b0"))
		w.answers["c0"], w.asked = answer(peerpb.TunnelResult_UNREACHABLE, true), nil
		for range 2 {
			_, err := n.Dial(t.Context(), "server")
			is.NoErr(err)
		}
		is.Equal(w.asked, []string{"c0", "b0", "b0"})
	})
}

// Guards against a server that has ended and counts as running, because a cut-off host
// tried its own lost path again and had no time left to ask others.
func TestRetryOfALostPathAsksOthersAtOnce(t *testing.T) {
	refusal := answer(peerpb.TunnelResult_REFUSED, false)
	for name, c := range map[string]struct {
		answers       map[string]*peer.TunnelError
		up, out, lost bool
	}{
		"ended":  {answers: map[string]*peer.TunnelError{"b0": refusal, "c0": refusal}, out: true},
		"sound":  {answers: map[string]*peer.TunnelError{"b0": nil}, up: true},
		"no way": {answers: map[string]*peer.TunnelError{}, lost: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := &world{direct: map[string]error{"server": context.DeadlineExceeded, "other": context.DeadlineExceeded}, answers: map[string]*peer.TunnelError{"x": nil}}
			n := newNetwork(w)
			for _, address := range []string{"server", "other"} {
				if conn, err := n.Dial(t.Context(), address); err == nil {
					conn.Close()
				}
			}
			time.Sleep(2 * retryInterval) // the paths are due to be tried again
			w.answers = c.answers
			n.helpers = newHelpers(n.options)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := n.Dial(ctx, "server")
			t.Logf("%s: %v", name, err)
			is.Equal(err == nil, c.up)
			is.Equal(err != nil && link.Refused(nil, err), c.out)
			is.Equal(errors.Is(err, link.ErrPathLost), c.lost)
			time.Sleep(time.Second)
		})
	}
}

// Guards against a slow dial that makes callers wait although another host connects, and
// against connections that are left open when both succeed.
func TestSlowDialIsOvertakenByATunnel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{direct: map[string]error{"server": context.DeadlineExceeded}, answers: map[string]*peer.TunnelError{"b0": nil}}
		n := newNetwork(w)
		silent := ""
		n.OnSilent(func(address string) { silent = address })
		began := time.Now()
		conn, err := n.Dial(t.Context(), "server")
		is.NoErr(err)
		conn.Close()
		is.Equal(time.Since(began), fallbackDelay)
		time.Sleep(dialTimeout)
		is.Equal(silent, "server")
		is.True(n.Lost(t.Context(), "server"))
		delete(w.direct, "server") // the path is back
		time.Sleep(2 * retryInterval)
		is.True(!n.Lost(t.Context(), "server"))
	})
}
