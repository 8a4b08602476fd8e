package configuration

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

// targetOrganisations is the number of organisations to be supported.
const targetOrganisations = 30_000

// targetShards returns the stored objects of targetOrganisations, with full
// histories.
func targetShards() []store.Object {
	shards := map[string][]Organisation{}
	for i := range targetOrganisations {
		o := organisation(fmt.Sprintf("organisation-%05d", i), fmt.Sprintf("token %d", i))
		o.Version = store.Version(i + 1)
		if i%3 == 0 {
			o.Services = []string{"outlook", "gauges"}
		}
		shards[shardOf(o.Name)] = append(shards[shardOf(o.Name)], o)
	}
	var objects []store.Object
	for shard, organisations := range shards {
		envelope := Envelope{Organisations: organisations}
		for i := range shardHistory {
			entry := audit.Entry{ChangeID: fmt.Sprintf("%08x-6f1c-4a31-9d53-%012x", i*7919, i*104729), Who: "operator-1", What: audit.WhatOrganisation, Name: organisations[0].Name, Detail: "put", Digest: uint64(i) * 0x9e3779b97f4a7c15}
			envelope.History = envelope.History.With(entry, targetOrganisations)
		}
		value, err := envelope.Encode()
		if err != nil {
			panic(err)
		}
		objects = append(objects, store.Object{Kind: Kind, Name: organisationsPrefix + shard, Version: targetOrganisations, Value: value})
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

func compressedSize(value []byte) int {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write(value)
	_ = writer.Close()
	return buffer.Len()
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against shards near the store's size limit, to which no organisation
// could be added. It logs the sizes in memory and on the wire.
func TestSizesAtTheTarget(t *testing.T) {
	objects := targetShards()
	largest, bytes, compressed := 0, 0, 0
	for _, object := range objects {
		largest, bytes, compressed = max(largest, len(object.Value)), bytes+len(object.Value), compressed+compressedSize(object.Value)
	}
	if largest > store.MaxValueBytes/16 {
		t.Errorf("largest shard has %d bytes", largest)
	}
	before := heap()
	table := NewTable(parseTest)
	table.Adopt(objects)
	tableBytes := heap() - before
	t.Logf("%d objects, largest %d bytes, all %d, compressed %d (%d each); lookup table %d bytes beside the objects",
		len(objects), largest, bytes, compressed, compressed/len(objects), tableBytes)
	if _, ok := table.Organisation(settings.HashToken("token 29999")); !ok {
		t.Error("not found")
	}
	runtime.KeepAlive(objects)
}

func BenchmarkOrganisationByToken(b *testing.B) {
	table := NewTable(parseTest)
	table.Adopt(targetShards())
	hash := settings.HashToken("token 17")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Organisation(hash); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkAdoptOneShard(b *testing.B) {
	objects := targetShards()
	table := NewTable(parseTest)
	table.Adopt(objects)
	changed := objects[7]
	b.ReportAllocs()
	for b.Loop() {
		changed.Version++
		table.Adopt([]store.Object{changed})
	}
}

func BenchmarkAdoptAllShards(b *testing.B) {
	objects := targetShards()
	b.ReportAllocs()
	for b.Loop() {
		NewTable(parseTest).Adopt(objects)
	}
}

func BenchmarkPutOrganisation(b *testing.B) {
	memory := store.NewMemory()
	for _, object := range targetShards() {
		if _, err := memory.Put(context.Background(), Kind, object.Name, object.Value, 0); err != nil {
			b.Fatal(err)
		}
	}
	acceptor := NewAcceptor(memory, parseTest)
	n := 0
	for b.Loop() {
		n++
		change := organisationChange(fmt.Sprint("c", n), 0, organisation(fmt.Sprintf("new-%d", n), fmt.Sprint("new ", n)))
		if result, err := acceptor.PutOrganisation(context.Background(), change); err != nil || result.Outcome != Accepted {
			b.Fatal(result, err)
		}
	}
}
