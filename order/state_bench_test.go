package order

import (
	"net"
	"testing"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/link"
)

// BenchmarkReadState reads an engine's state over loopback, as the lease holder
// does for each worker at each plan. The time includes the stand-in engine's.
func BenchmarkReadState(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	stand := engine.New(engine.Config{})
	go func() { _ = stand.Serve(listener) }()
	client := backend.NewClient(link.TCP{}, backend.ClientOptions{})
	defer func() {
		client.Close()
		_ = stand.Close()
	}()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.ReadState(b.Context(), listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
}
