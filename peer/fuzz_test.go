package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/store"
)

// fuzzRuns is the number of generated fault sequences per test run.
const fuzzRuns = 8

// step is one step of a generated sequence.
type step struct {
	kind  string
	host  string
	other string
	wait  time.Duration
}

func genSteps() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom([]string{"put", "put", "silence", "lose", "cut", "stall", "heal", "replace", "isolate"}).Draw(t, "kind"),
			host:  rapid.SampledFrom(seven).Draw(t, "host"),
			other: rapid.SampledFrom(seven).Draw(t, "other"),
			wait:  time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 10, 25)
}

// Guards against an accepted change that is reverted or missed on some host
// while links fail and heal and hosts are replaced without their state.
func TestFleetUnderGeneratedFaults(t *testing.T) {
	t.Parallel()
	for seed := range fuzzRuns {
		steps := genSteps().Example(seed + 1)
		synctest.Test(t, func(t *testing.T) { playSteps(t, steps) })
	}
}

// playSteps checks that the version on a running host never decreases, and that
// after all links heal all hosts agree on configuration and membership. An
// object may be lost on all of them if its only holder was replaced before it could
// forward the object.
func playSteps(t *testing.T, steps []step) {
	f := newFleet(t, "a1", "b1", "c1")
	defer f.stop()
	f.start(seven...)
	time.Sleep(5 * time.Second)
	highest := make(map[string]store.Version)
	version := store.Version(0)
	for _, s := range steps {
		if s.kind == "put" {
			version++
			f.hosts[s.host].table.put(s.other, version)
			f.hosts[s.host].Announce()
		}
		f.fault(s)
		if s.kind == "replace" {
			highest[s.host] = 0
		}
		time.Sleep(s.wait)
		f.checkVersions(t, highest)
	}
	f.fabric.HealAll()
	time.Sleep(3 * time.Minute)
	f.checkVersions(t, highest)
	f.checkAgreement(t)
}

func (f *testFleet) fault(s step) {
	a, b := f.ip(s.host), f.ip(s.other)
	switch s.kind {
	case "silence":
		f.fabric.Silence(a, b)
	case "lose":
		f.fabric.SilenceOneWay(a, b)
	case "cut":
		f.fabric.Cut(a, b)
	case "stall":
		f.fabric.Stall(a, b)
	case "isolate":
		f.pairs([]string{s.host}, nil, f.fabric.Silence)
	case "heal":
		f.fabric.HealAll()
	case "replace":
		f.kill(s.host)
		f.start(s.host)
	}
}

func (f *testFleet) checkVersions(t *testing.T, highest map[string]store.Version) {
	t.Helper()
	for _, host := range f.names() {
		held := f.hosts[host].table.Version()
		if held < highest[host] {
			t.Errorf("%s went back from version %d to %d", host, highest[host], held)
		}
		highest[host] = held
		if f.hosts[host].table.older > 0 {
			t.Errorf("%s was offered an older version", host)
		}
	}
}

func (f *testFleet) checkAgreement(t *testing.T) {
	t.Helper()
	want := f.hosts["a1"].table.String()
	for _, host := range f.names() {
		if got := f.hosts[host].table.String(); got != want {
			t.Errorf("%s has %q, a1 has %q", host, got, want)
		}
		for other, state := range f.states(host) {
			if state != StateAlive {
				t.Errorf("%s lists %s as %s", host, other, state)
			}
		}
	}
}
