package entryhost

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/store"
)

func TestEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		ctx := context.Background()

		stream, err := client.Generate(ctx, outlook, caller.Request{Prompt: "spring outlook", StopAfter: 50})
		s.is.NoErr(err)
		s.is.Equal(s.readAll(stream), 50)

		stream, err = client.Generate(ctx, letters, caller.Request{Prompt: "reminder", StopAfter: 40})
		s.is.NoErr(err)
		s.is.Equal(s.readAll(stream), 40)

		answer, err := client.Call(ctx, gauges, http.MethodGet, "/reading/7?unit=m", nil, nil)
		s.is.NoErr(err)
		s.is.Equal(answer.Status, http.StatusOK)

		_, err = client.Call(ctx, gauges, http.MethodPost, "/alarms/7/ack", []byte("seen"), nil)
		s.is.NoErr(err)
		for _, runs := range s.plain.RunsByKey() {
			s.is.Equal(runs, 1)
		}
	})
}

// Guards against tokens lost, duplicated or generated again when an entry host crashes during a stream.
func TestEntryHostDiesMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		stream, err := client.Generate(context.Background(), outlook, caller.Request{Prompt: "spring outlook", StopAfter: 300})
		s.is.NoErr(err)
		go func() {
			time.Sleep(time.Second)
			for i := range s.hosts {
				if s.inFlight(s.hosts[i]) > 0 {
					s.kill(i)
				}
			}
		}()
		s.is.Equal(s.readAll(stream), 300)
		total := 0
		for _, e := range s.engines {
			total += len(e.Runs())
		}
		s.is.Equal(total, 1)
	})
}

// Guards against streams cut off by a graceful stop of their entry host: it must
// end only after they are complete.
func TestGracefulStopCutsNothingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		stream, err := client.Generate(context.Background(), letters, caller.Request{Prompt: "reminder", StopAfter: 200})
		s.is.NoErr(err)
		for _, host := range s.hosts {
			if s.inFlight(host) > 0 {
				go func() { s.is.NoErr(host.Stop(context.Background())) }()
			}
		}
		s.is.Equal(s.readAll(stream), 200)
	})
}

// Guards against information in responses to a wrong or missing token: they must
// contain nothing but the 401 problem.
func TestWrongTokenRevealsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		for _, path := range []string{"/v1/operator/status", "/v1/addresses", "/v1/services/outlook/call/x"} {
			for _, authorization := range []string{"", "Bearer wrong", "Basic " + testToken} {
				request, err := http.NewRequest(http.MethodGet, "http://"+hostIP(0)+":7480"+path, nil)
				s.is.NoErr(err)
				request.Header.Set("Authorization", authorization)
				response, body := s.do(request)
				s.is.Equal(response.StatusCode, http.StatusUnauthorized)
				s.is.Equal(body, `{"name":"unauthorized","type":"urn:papayasail:unauthorized","title":"unauthorized","status":401,"outcome":"not_run","reason":"unauthorized"}`+"\n")
			}
		}
	})
}

// Guards against work placed on a server that only the host list reports as leaving.
func TestHostListTakesServerOutEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		ctx := context.Background()
		var streams []*caller.Stream
		for range 4 {
			stream, err := client.Generate(ctx, outlook, caller.Request{Prompt: "spring outlook", StopAfter: 400})
			s.is.NoErr(err)
			streams = append(streams, stream)
		}
		_, err := s.store.Put(ctx, HostKind, "10.0.1.1", []byte(`{"state":"leaving"}`), 0)
		s.is.NoErr(err)
		time.Sleep(3 * time.Second)
		before := len(s.engines[0].Runs())
		for i := range 8 {
			direct := s.caller(hostIP(i%4) + ":7480")
			stream, err := direct.Generate(ctx, outlook, caller.Request{Prompt: "spring outlook", StopAfter: 5})
			s.is.NoErr(err)
			s.is.Equal(s.readAll(stream), 5)
			direct.Close()
		}
		s.is.Equal(len(s.engines[0].Runs()), before)
		for _, stream := range streams {
			s.is.Equal(s.readAll(stream), 400)
		}
	})
}

// Guards against streams that hang when a connection to a live engine no longer delivers data.
func TestSilentConnectionToEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		stream, err := client.Generate(context.Background(), outlook, caller.Request{Prompt: "spring outlook", StopAfter: 200})
		s.is.NoErr(err)
		go func() {
			time.Sleep(500 * time.Millisecond)
			s.fabric.SilenceOpenConnections("10.0.1.1", hostIP(0))
			s.fabric.SilenceOpenConnections("10.0.1.2", hostIP(0))
		}()
		began := time.Now()
		s.is.Equal(s.readAll(stream), 200)
		// The engine continues meanwhile: 0.5 s of tokens, the gap, then the rest at once.
		s.is.True(time.Since(began) < time.Second+contract.DefaultGapDeadline)
		s.is.Equal(len(s.engines[0].Runs())+len(s.engines[1].Runs()), 1)
	})
}

// Guards against memory that is never released when callers read nothing.
func TestCallerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		conn, err := s.fabric.Host(callerIP).Dial(context.Background(), hostIP(0)+":7480")
		s.is.NoErr(err)
		defer conn.Close()
		body := `{"prompt":"spring outlook","x_stop_after":4000}`
		_, err = fmt.Fprintf(conn, "POST /v1/services/outlook/generations HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(body), body)
		s.is.NoErr(err)
		time.Sleep(5 * time.Second)
		s.is.Equal(s.inFlight(s.hosts[0]), 1)
		time.Sleep(time.Minute)
		s.is.Equal(s.inFlight(s.hosts[0]), 0)
		s.is.Equal(s.engines[0].Load().Running+s.engines[1].Load().Running, 0)
	})
}

// Guards against generations lost on an engine that stalls before their first token.
func TestEngineFreezesBeforeFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		s.engines[0].Pause(true)
		s.engines[1].Pause(true)
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		stream, err := client.Generate(ctx, outlook, caller.Request{Prompt: "spring outlook", StopAfter: 30})
		s.is.NoErr(err)
		frozen := 0
		if len(s.engines[1].Runs()) > 0 {
			frozen = 1
		}
		s.engines[1-frozen].Pause(false)
		began := time.Now()
		s.is.Equal(s.readAll(stream), 30)
		s.is.True(time.Since(began) < contract.DefaultFirstTokenDeadline+time.Second)
	})
}

// Guards against a model loaded by several hosts at once, or by none after its engine crashed.
func TestModelIsPlacedAndMovesWhenItsEngineDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithEngines(t, 3, engine.Config{})
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		time.Sleep(time.Minute)
		loaded := -1
		for i, e := range s.engines {
			if len(e.Load().Models) > 0 {
				s.is.Equal(loaded, -1) // min_workers is 1
				loaded = i
			}
		}
		s.is.True(loaded >= 0)
		stream, err := client.Generate(context.Background(), outlook, caller.Request{Prompt: "spring outlook", StopAfter: 5})
		s.is.NoErr(err)
		s.is.Equal(s.readAll(stream), 5)

		s.is.NoErr(s.engines[loaded].Close())
		time.Sleep(2 * time.Minute)
		s.is.Equal(s.engines[1-loaded].Load().Models, []string{"basin@3"})
		stream, err = client.Generate(context.Background(), outlook, caller.Request{Prompt: "spring outlook", StopAfter: 5})
		s.is.NoErr(err)
		s.is.Equal(s.readAll(stream), 5)
	})
}

// Guards against duplicate runs and long waits when a connection between hosts no longer delivers data.
func TestSilentConnectionBetweenHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		home := s.hosts[0].ledger.Home().String()
		s.is.Equal(s.acknowledge(1, home+".ack-1"), "200 POST /alarms/7/ack: seen")
		s.fabric.SilenceOpenConnections(hostIP(0), hostIP(1))
		began := time.Now()
		s.is.Equal(s.acknowledge(1, home+".ack-2"), "200 POST /alarms/7/ack: seen")
		s.is.True(time.Since(began) < 2*queryTimeout)
		s.is.Equal(s.plain.RunsByKey()[home+".ack-2"], 1)
	})
}

// Guards against a failed call when it takes longer than the forwarding timeout
// between hosts and its caller uses a host that is not the home.
func TestLongForwardedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		s.plain.QueueModes(plain.Late)
		s.plain.SetLateDelay(3 * queryTimeout)
		key := s.hosts[0].ledger.Home().String() + ".ack-1"
		s.is.Equal(s.acknowledge(1, key), "200 POST /alarms/7/ack: seen")
		s.is.Equal(s.plain.RunsByKey()[key], 1)
	})
}

// Guards against accepted changes that do not spread during a store outage.
func TestAcceptedChangeSpreadsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4)
		defer s.close()
		operators := &operatorService{s.hosts[3]}
		_, version, _ := s.hosts[3].table.Document(outlook)
		document := fmt.Sprintf(modelService, outlook, true) + "retry: {max_retries: 1}\n"
		accepted, err := operators.Put(context.Background(), &operator.PutPayload{Service: outlook, Document: document, ExpectVersion: uint64(version), ChangeID: "c2"})
		s.is.NoErr(err)
		s.store.SetFaults(store.Faults{Outage: true})
		s.is.Equal(accepted.Outcome, string(configuration.Accepted))
		time.Sleep(5 * time.Second)
		for _, host := range s.hosts {
			inForce, _, _ := host.table.Document(outlook)
			s.is.Equal(inForce.Retry.MaxRetries, 1)
		}
	})
}

// Guards against hosts that miss the start or the end of an operator's drain: each
// must take effect on every host within 3 s.
func TestDrainBeginsAndEndsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4)
		defer s.close()
		operators := &operatorService{s.hosts[0]}
		for i, end := range []bool{false, true} {
			_, err := operators.Drain(context.Background(), &operator.DrainPayload{Address: "10.0.1.1:9000", End: end, ChangeID: fmt.Sprint("c", i)})
			s.is.NoErr(err)
			time.Sleep(3 * time.Second)
			for _, host := range s.hosts {
				state := host.pool.Snapshot(outlook).Servers[0].State
				s.is.Equal(state == backend.StateLeaving, !end)
			}
		}
	})
}

// Guards against hosts that miss the start or the end of an evacuation.
func TestEvacuationBeginsAndEndsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4)
		defer s.close()
		operators := &operatorService{s.hosts[0]}
		document, _, _ := s.hosts[0].table.Document(outlook)
		domain := document.BackendServers[0].FailureDomain
		for i, end := range []bool{false, true} {
			_, err := operators.Evacuate(context.Background(), &operator.EvacuatePayload{FailureDomain: domain, End: end, ChangeID: fmt.Sprint("c", i)})
			s.is.NoErr(err)
			time.Sleep(3 * time.Second)
			for _, host := range s.hosts {
				state := host.pool.Snapshot(outlook).Servers[0].State
				s.is.Equal(state == backend.StateLeaving, !end)
			}
		}
		_, err := operators.Evacuate(context.Background(), &operator.EvacuatePayload{FailureDomain: "anakra", ChangeID: "c9"})
		s.is.True(err != nil)
	})
}

// Guards against a second run of a call whose outcome is unknown when its caller repeats it.
func TestUnknownOutcomeIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.close()
		s.plain.QueueModes(plain.DropAfter)
		key := s.hosts[0].ledger.Home().String() + ".ack-1"
		first := s.acknowledge(0, key)
		s.is.True(strings.Contains(first, `"outcome":"unknown"`))
		s.is.True(!strings.Contains(first, "retry_after"))
		s.is.Equal(s.acknowledge(0, key), first)
		s.is.Equal(s.plain.RunsByKey()[key], 1)
	})
}

// Guards against refusals during a rolling update while no engine has the new model version yet.
func TestModelUpdateRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithEngines(t, 2, engine.Config{Models: []string{"basin@3"}, LoadTime: 5 * time.Second})
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		_, version, _ := s.hosts[0].table.Document(outlook)
		document := strings.ReplaceAll(fmt.Sprintf(modelService, outlook, true), `"3"`, `"4"`)
		operators := &operatorService{s.hosts[0]}
		_, err := operators.Put(context.Background(), &operator.PutPayload{Service: outlook, Document: document, ExpectVersion: uint64(version), ChangeID: "roll"})
		s.is.NoErr(err)
		for range 120 {
			stream, err := client.Generate(context.Background(), outlook, caller.Request{Prompt: "spring outlook", StopAfter: 5})
			s.is.NoErr(err)
			s.is.Equal(s.readAll(stream), 5)
			time.Sleep(500 * time.Millisecond)
		}
		loaded := slices.Concat(s.engines[0].Load().Models, s.engines[1].Load().Models)
		s.is.True(slices.Contains(loaded, "basin@4"))
	})
}

// Guards against "not run" for a request that ran, from a host without a configuration.
func TestRepeatAtHostWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		key := s.hosts[0].ledger.Home().String() + ".ack-1"
		s.is.Equal(s.acknowledge(0, key), "200 POST /alarms/7/ack: seen")
		s.store.SetFaults(store.Faults{Outage: true})
		s.fabric.Cut(hostIP(0), hostIP(2))
		s.fabric.Cut(hostIP(1), hostIP(2))
		s.start(2, 3)
		time.Sleep(3 * time.Second)
		s.is.True(strings.Contains(s.acknowledge(2, key), `"outcome":"unknown","reason":"no_configuration"`))
		fresh := s.hosts[2].ledger.Home().String() + ".ack-2"
		s.is.True(strings.Contains(s.acknowledge(2, fresh), `"outcome":"not_run","reason":"no_configuration"`))
	})
}

// Guards against leaving engines that go undetected by hosts that rarely poll the load.
func TestLoadReportsComeWithStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithPolls(t, 1, engine.Config{Models: []string{"basin@3"}, ChunksPerReport: 8}, 0.001)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		stream, err := client.Generate(context.Background(), outlook, caller.Request{Prompt: "spring outlook", StopAfter: 200})
		s.is.NoErr(err)
		used := 0
		if len(s.engines[1].Runs()) > 0 {
			used = 1
		}
		s.engines[used].Leave(true)
		time.Sleep(500 * time.Millisecond)
		server := s.hosts[0].pool.Snapshot(outlook).Servers[used]
		s.is.Equal(server.State, backend.StateLeaving)
		s.is.True(time.Since(server.ReportedAt) < 200*time.Millisecond)
		s.is.Equal(s.readAll(stream), 200)
	})
}

// Guards against a host that serves nobody while it reaches no backend server but reaches
// a host that does.
func TestHostCutOffFromAllServersServesThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		client := s.caller(hostIP(0) + ":7480")
		defer client.Close()
		ctx := context.Background()
		s.fabric.Cut(callerIP, hostIP(1))
		for _, server := range []string{"10.0.1.1", "10.0.1.2", "10.0.2.1"} {
			s.fabric.Cut(hostIP(0), server)
		}
		time.Sleep(5 * time.Second)
		stream, err := client.Generate(ctx, letters, caller.Request{Prompt: "reminder", StopAfter: 40})
		s.is.NoErr(err)
		s.is.Equal(s.readAll(stream), 40)
		answer, err := client.Call(ctx, gauges, http.MethodGet, "/reading/7?unit=m", nil, nil)
		s.is.NoErr(err)
		s.is.Equal(answer.Status, http.StatusOK)
		_, err = client.Call(ctx, gauges, http.MethodPost, "/alarms/7/ack", []byte("seen"), nil)
		s.is.NoErr(err)
	})
}
