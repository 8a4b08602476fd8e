package configuration

import (
	"fmt"
	"testing"

	"github.com/papayasail/papayasail/store"
)

// benchServices is the number of documents in the benchmarks: 13 models with
// several plain services each.
const benchServices = 60

func benchTable() *Table {
	table := NewTable(parseTest)
	for i := range benchServices {
		name := fmt.Sprintf("s%d", i)
		table.Adopt([]store.Object{object(ServiceName(name), name+" x", store.Version(i+1))})
	}
	return table
}

func BenchmarkDocument(b *testing.B) {
	table := benchTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Document("s7")
	}
}

func BenchmarkDigest(b *testing.B) {
	table := benchTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Digest()
	}
}

func BenchmarkAdoptOne(b *testing.B) {
	table := benchTable()
	version := table.Version()
	b.ReportAllocs()
	for b.Loop() {
		version++
		table.Adopt([]store.Object{object("service/s7", "s7 x", version)})
	}
}
