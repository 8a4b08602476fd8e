package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// BenchmarkDecision places and ends one request while this host runs 200
// generations and each server reports sixteen.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{12, 600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			pool := backend.NewPool(backend.PoolOptions{})
			pool.Update([]*contract.Document{testDocument(workers)})
			d, err := New(Options{Pool: pool, Policy: PolicyForecast, Host: "h"})
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			for i := range workers {
				pool.Report(address(i), backend.LoadReport{Sequence: 1, Running: 16, TokensHeld: 4000, TokenCapacity: 100_000}, time.Now())
			}
			request := Request{Service: testService, Organisation: "a", PromptTokens: 100, PrefixHash: 1}
			for range 200 {
				g, err := d.Acquire(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				g.Progress(10, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				g, err := d.Acquire(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				g.Done(Result{Tokens: 0})
			}
		})
	}
}

func BenchmarkLengthUpdate(b *testing.B) {
	l := newLengths(func(string) (counts [lengthBuckets]float64) { return counts })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.add("a", 100, 1+i%1000)
		l.forOrganisation("a")
	}
}

func BenchmarkProgress(b *testing.B) {
	g := &grant{serverLoad: &serverLoad{}}
	g.serverLoad.gaps.target.Store(int64(50 * time.Millisecond))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.Progress(i, 20*time.Millisecond)
	}
}
