package order

import (
	"fmt"
	"testing"

	"github.com/papayasail/papayasail/contract"
)

// BenchmarkPlan plans for 13 models with no orders due.
func BenchmarkPlan(b *testing.B) {
	const models = 13
	for _, workers := range []int{12, 100, 600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			documents := make([]*contract.Document, models)
			known := map[string]Worker{}
			for m := range models {
				var servers []int
				for w := range workers {
					if w%models == m {
						servers = append(servers, w)
						known[fmt.Sprintf("w%d", w)] = worker(fmt.Sprintf("m%d@1", m))
					}
				}
				document := fuzzDocument(fmt.Sprintf("s%d", m), fmt.Sprintf("m%d", m), len(servers), servers...)
				document.Model.Version = "1"
				documents[m] = &document
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(documents, known, "north")
			}
		})
	}
}
