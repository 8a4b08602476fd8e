package bench

import (
	"context"
	"flag"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var (
	runSite     = flag.String("bench.site", "", "site to run the bench for")
	runPolicies = flag.String("bench.policies", "all", "policies, comma separated")
	runLoads    = flag.String("bench.loads", "0.8,0.95", "fractions of the site's peak load, comma separated")
	runSeeds    = flag.Int("bench.seeds", 1, "number of seeds")
	runSeed     = flag.Uint64("bench.seed", 1, "first seed")
	runFaults   = flag.String("bench.faults", "none", "fault script")
	runBurst    = flag.String("bench.burst", "", "burst as AT LENGTH LOAD")
	runOut      = flag.String("bench.out", "", "result file")
	runQuick    = flag.Bool("bench.quick", false, "smoke run")
	runParallel = flag.Int("bench.parallel", 3, "number of policies that run concurrently")
	runMeasured = flag.Duration("bench.measured", 0, "length of the measured window")
	runLag      = flag.Duration("bench.lag", 200*time.Millisecond, "age of load reports")
	runLoss     = flag.Float64("bench.loss", 0, "fraction of load reports that is lost")
)

// BenchmarkSite runs the bench for the site given by -bench.site.
func BenchmarkSite(t *testing.B) {
	if *runSite == "" {
		t.Fatal("no site given: set -bench.site")
	}
	var loads []float64
	for _, text := range strings.Split(*runLoads, ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		loads = append(loads, load)
	}
	report, err := Run(context.Background(), Options{
		Site: *runSite, Policies: ParsePolicies(*runPolicies), Loads: loads, Seed: *runSeed, Seeds: *runSeeds, Faults: *runFaults,
		Quick: *runQuick, Out: *runOut, Progress: os.Stdout, Burst: *runBurst, Parallel: *runParallel, Measured: *runMeasured,
		ReportLag: *runLag, ReportLoss: *runLoss,
	})
	if err != nil {
		t.Error(err)
	}
	if report != nil && *runOut != "" {
		if _, err := Plot(*runOut); err != nil {
			t.Error(err)
		}
	}
}

func TestArrivalsDependOnTheSeedOnly(t *testing.T) {
	is := is.New(t)
	load := func(time.Duration) float64 { return 0.8 }
	s := sites[SiteAkarsu]
	one, same, other := generateArrivals(s, 1, load, time.Minute), generateArrivals(s, 1, load, time.Minute), generateArrivals(s, 2, load, time.Minute)
	is.Equal(len(one), len(same))
	for i := range one {
		is.Equal(one[i], same[i])
		is.Equal(tagOf(one[i].prompt), tag(1, i))
	}
	is.True(one[0].at != other[0].at)
}

func TestFaultScriptMistakesAreFoundBeforeTheRun(t *testing.T) {
	is := is.New(t)
	s := sites[SiteAkarsu]
	for _, text := range []string{"5s engine_kill 12", "5s engine_kill x", "soon engine_kill 1", "5s fire 1", "5s link_stall mars 2s", "5s engine_reclaim 1", "5s host_kill 1 2"} {
		_, err := parseScript(s, text)
		is.True(err != nil) // text
	}
	whole, err := parseScript(s, allFaultsName)
	is.NoErr(err)
	is.Equal(len(whole.steps), len(injections)) // one of each kind
}

func TestFairDivisionGivesSmallOnesWhatTheyAsk(t *testing.T) {
	is := is.New(t)
	fair := fairDivision(map[int]float64{0: 1000, 8: 10, 9: 100}, 120)
	is.Equal(fair[8], 10.0)
	is.Equal(fair[9], 22.0) // the remaining 110 tokens divided at weights 4 and 1
	is.Equal(fair[0], 88.0)
}

// Guards against an oracle that misses violations: four kinds of violation are
// each presented to it once.
func TestOracleSeesEachBreach(t *testing.T) {
	is := is.New(t)
	o := newOracle(1, false)
	check := &answerCheck{oracle: o, number: 1}
	check.checkToken(0, "g.0 ")
	check.checkToken(2, "g.2 ")
	check = &answerCheck{oracle: o, number: 2}
	check.checkToken(0, "g.0 ")
	check.checkToken(1, "h.1 ")
	check.checkEnd(3)
	is.Equal(o.violations, map[string]int{violationToken: 1, violationMixed: 1, violationLength: 1})
	o.checkRuns(nil, nil)
	is.Equal(o.violations[violationForeign], 1) // no engine ran it
}

// Guards against connections that hang after a middlebox drops their state: reads
// must time out, and new connections to the address must work.
func TestSilencedConnectionTimesOutAndNewOnesWork(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	address := listener.Addr().String()
	go func() { // echo server
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	topology := newTopology(sites[SiteAkarsu])
	machine := &network{topology: topology, domain: "ankara"}
	ask := func(conn net.Conn, wait time.Duration) error {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(wait)))
		_, err := conn.Write([]byte("?"))
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 1))
		return err
	}
	old, err := machine.Dial(t.Context(), address)
	is.NoErr(err)
	defer old.Close()
	is.NoErr(ask(old, time.Minute))
	topology.silence(address)
	var timeout net.Error
	is.True(errors.As(ask(old, 20*time.Millisecond), &timeout) && timeout.Timeout())
	fresh, err := machine.Dial(t.Context(), address)
	is.NoErr(err)
	defer fresh.Close()
	is.NoErr(ask(fresh, time.Minute))
}
