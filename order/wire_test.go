package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const wireDocument = `service: letters
owner: office
kind: model
model: {name: drafts, version: "7", min_workers: 1, max_tokens: 100, idempotent: false}
backend_servers:
  - {name: w1, address: "10.0.1.1:80", failure_domain: north, checks_orders: true, honours_fence: true, role: decode}
`

func TestDutyOverTheWire(t *testing.T) {
	// Guards against load orders that time out because loading takes longer than an
	// ordinary call. Uses the real client and parser and the stand-in engine, which
	// checks the caller and honours fencing numbers.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		fabric := network.New(network.Options{})
		listener, err := fabric.Host("10.0.1.1").Listen("10.0.1.1:80")
		is.NoErr(err)
		stand := engine.New(engine.Config{OrderToken: "secret", HonourFence: true, LoadTime: 10 * time.Second})
		go func() { _ = stand.Serve(listener) }()
		client := backend.NewClient(fabric.Host("10.0.0.1"), backend.ClientOptions{ControlTimeout: testMaxExecutionTime, OrderToken: "secret"})
		memory, table := store.NewMemory(), configuration.NewTable(contract.ParseDocument)
		watcher := &replica.Follower{Store: memory, Kind: configuration.Kind, Table: table.Table}
		duty := New(Options{Host: "a", FailureDomain: "north", Store: memory, Engine: client, Documents: table, Refresh: watcher.Refresh})
		_, err = configuration.NewAcceptor(memory, contract.ParseDocument).Put(ctx, configuration.Change{Service: "letters", Document: []byte(wireDocument), ChangeID: "c1"})
		is.NoErr(err)
		stopped := make(chan struct{})
		go func() { _ = duty.Run(ctx); close(stopped) }()
		time.Sleep(time.Minute)
		state, err := client.ReadState(ctx, "10.0.1.1:80")
		is.NoErr(err)
		is.Equal(state.Models, []string{"drafts@7"})
		is.Equal(state.Role, "decode")
		cancel()
		<-stopped
		client.Close()
		is.NoErr(stand.Close())
	})
}
