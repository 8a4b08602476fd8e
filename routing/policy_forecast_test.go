package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

const testCapacity = 10_000

// inBubble runs f in virtual time and returns the failure that it found, if any.
// Draw values before the call: rapid must not be called from within a bubble.
func inBubble(t *testing.T, f func(t *testing.T) (wrong string)) (wrong string) {
	synctest.Test(t, func(t *testing.T) { wrong = f(t) })
	return wrong
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/256, i%256) }

// report adds a load report of server i to the pool.
func report(pool *backend.Pool, i int, sequence uint64, running, held int) {
	pool.Report(address(i), backend.LoadReport{Sequence: sequence, Running: running, TokensHeld: held, TokenCapacity: testCapacity}, time.Now())
}

// Guards against placement on a leaving server: it gets no work and therefore
// reports the most free memory.
func TestNeverChoosesAServerThatIsLeaving(t *testing.T) {
	const n = 6
	sources := []backend.LeavingSource{"", backend.SourceHostList, backend.SourceOperator, backend.SourcePeer, backend.SourceRefused}
	for _, policy := range Policies() {
		rapid.Check(t, func(r *rapid.T) {
			running := rapid.SliceOfN(rapid.IntRange(0, 30), n, n).Draw(r, "running")
			held := rapid.SliceOfN(rapid.IntRange(0, testCapacity), n, n).Draw(r, "held")
			source := rapid.SliceOfN(rapid.SampledFrom(sources), n, n).Draw(r, "source")
			wrong := inBubble(t, func(t *testing.T) string {
				d, pool := testDispatcher(t, policy, testDocument(n))
				for i := range n {
					report(pool, i, 1, running[i], held[i])
					if source[i] != "" {
						pool.MarkLeaving(address(i), source[i], time.Now().Add(time.Minute))
					}
				}
				for range 20 {
					g, err := d.Acquire(t.Context(), Request{Service: testService, PromptTokens: 100, Deadline: time.Now().Add(100 * time.Millisecond)})
					for i := range n {
						if err == nil && g.Address() == address(i) && source[i] != "" {
							return policy + " chose " + g.Server() + ", which is leaving"
						}
					}
				}
				return ""
			})
			if wrong != "" {
				r.Fatal(wrong)
			}
		})
	}
}

func TestSameInputSameChoice(t *testing.T) {
	for _, policy := range Policies() {
		rapid.Check(t, func(r *rapid.T) {
			prompts := rapid.SliceOfN(rapid.IntRange(1, 2000), 1, 30).Draw(r, "prompts")
			held := rapid.SliceOfN(rapid.IntRange(0, testCapacity), 8, 8).Draw(r, "held")
			choose := func() string {
				return inBubble(t, func(t *testing.T) string { return fmt.Sprint(choices(t, policy, prompts, held)) })
			}
			if first, again := choose(), choose(); first != again {
				r.Fatalf("%s: %v, then %v", policy, first, again)
			}
		})
	}
}

func choices(t *testing.T, policy string, prompts, held []int) (chosen []string) {
	d, pool := testDispatcher(t, policy, testDocument(len(held)))
	defer d.Close()
	for i, tokens := range held {
		report(pool, i, 1, tokens/500, tokens)
	}
	for _, prompt := range prompts {
		g, err := d.Acquire(t.Context(), Request{Service: testService, PromptTokens: prompt, PrefixHash: uint64(prompt), Deadline: time.Now().Add(time.Millisecond)})
		if err != nil {
			chosen = append(chosen, "refused")
			continue
		}
		chosen = append(chosen, g.Server())
	}
	return chosen
}

// Guards against engines that run out of memory as the placed generations grow.
func TestForecastStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		prompts := rapid.SliceOfN(rapid.IntRange(1, 3000), 1, 200).Draw(r, "prompts")
		wrong := inBubble(t, func(t *testing.T) string {
			d, pool := testDispatcher(t, PolicyForecast, testDocument(1))
			report(pool, 0, 1, 0, 0)
			for i, prompt := range prompts {
				if _, err := d.Acquire(t.Context(), Request{Service: testService, PromptTokens: prompt, Deadline: time.Now().Add(time.Millisecond)}); err != nil {
					return ""
				}
				s := d.service(testService)
				if _, ok := s.serverLoads[address(0)].own.fits(testCapacity, s.z); !ok {
					return fmt.Sprintf("request %d placed beyond the accepted risk of overflow", i)
				}
			}
			return ""
		})
		if wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// Guards against a thundering herd: all hosts see the same free memory in one
// report and place there at once.
func TestHostsDoNotAllPlaceOnTheSameFreeMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts, rounds = 7, 40
		held := testCapacity
		for !places(t, 1, 0, held) {
			held -= 50
		}
		taken := 0
		for seed := range uint64(hosts * rounds) {
			if places(t, hosts, seed, held-100) {
				taken++
			}
		}
		perRound := float64(taken) / rounds
		is.True(perRound > 0.1) // the free memory is used
		is.True(perRound < 2)   // but not by all hosts
	})
}

// places reports whether one of several hosts places a request on an engine that
// reports held tokens in use.
func places(t *testing.T, hosts int, seed uint64, held int) bool {
	pool := backend.NewPool(backend.PoolOptions{})
	pool.Update([]*contract.Document{testDocument(1)})
	d, err := New(Options{Pool: pool, Policy: PolicyForecast, Host: "h", Seed: seed, Share: func() float64 { return 1 / float64(hosts) }})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	report(pool, 0, 1, 12, held)
	_, err = d.Acquire(t.Context(), Request{Service: testService, PromptTokens: 200, Deadline: time.Now().Add(time.Millisecond)})
	return err == nil
}

// Guards against a wrong report from one server that stops placement on all.
func TestWrongReportsCostOneServerAtMost(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		running, held := rapid.Int().Draw(r, "running"), rapid.Int().Draw(r, "held")
		wrong := inBubble(t, func(t *testing.T) string {
			d, pool := testDispatcher(t, PolicyForecast, testDocument(3))
			report(pool, 0, 1, running, held)
			report(pool, 1, 1, 1, 300)
			report(pool, 2, 1, 1, 300)
			for range 5 {
				if _, err := d.Acquire(t.Context(), Request{Service: testService, PromptTokens: 100}); err != nil {
					return err.Error()
				}
			}
			return ""
		})
		if wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// Guards against refusals when reports stop, as in a network partition from the
// engines: placement continues on this host's own data.
func TestWorkGoesOnWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, pool := testDispatcher(t, PolicyForecast, testDocument(3))
		for i := range 3 {
			report(pool, i, 1, 20, testCapacity) // full in the last report
		}
		time.Sleep(time.Minute)
		servers := map[string]int{}
		for range 6 {
			g, err := d.Acquire(t.Context(), Request{Service: testService, PromptTokens: 100})
			is.NoErr(err)
			servers[g.Server()]++
		}
		is.Equal(len(servers), 3)
	})
}

// Guards against a cached prefix that attracts requests to a full engine.
func TestPrefixNeverOverridesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, pool := testDispatcher(t, PolicyForecast, testDocument(2))
		report(pool, 0, 1, 0, 0)
		report(pool, 1, 1, 30, testCapacity)
		d.HandleCacheEvents(testService, address(1), []backend.CacheEvent{{Sequence: 1, Prefix: 7, Tokens: 500}})
		for range 5 {
			g, err := d.Acquire(t.Context(), Request{Service: testService, PromptTokens: 100, PrefixHash: 7})
			is.NoErr(err)
			is.Equal(g.Server(), "w0")
		}
	})
}

// Guards against requests under overload that are refused only at their deadline:
// the refusal has to come at once, with a time to retry.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, pool := testDispatcher(t, PolicyForecast, testDocument(1))
		report(pool, 0, 1, 0, 0)
		refusedAtOnce := make(chan bool, 400)
		for i := range 400 { // 100 per second, each runs for 1 s: far over capacity
			go func() {
				start := time.Now()
				g, err := d.Acquire(t.Context(), Request{Service: testService, Organisation: "a", PromptTokens: 1000})
				if err != nil {
					refusal := refusalOf(t, err)
					is.Equal(refusal.Outcome, contract.OutcomeNotRun)
					is.True(refusal.RetryAfter > 0)
					refusedAtOnce <- time.Since(start) == 0
					return
				}
				time.Sleep(time.Second)
				g.Done(Result{Tokens: 500, Complete: true})
				refusedAtOnce <- false
			}()
			time.Sleep(10 * time.Millisecond)
			if i%25 == 24 {
				report(pool, 0, uint64(i), 0, 0)
			}
		}
		time.Sleep(time.Minute)
		atOnce := 0
		for range 400 {
			if <-refusedAtOnce {
				atOnce++
			}
		}
		is.True(atOnce > 200)
	})
}

// Guards against starvation: one organisation floods the queue, and a request of
// another one has to be served in its turn.
func TestSmallOrganisationIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		document := testDocument(1)
		document.Deadlines.Queue = time.Hour
		d, pool := testDispatcher(t, PolicyForecast, document)
		report(pool, 0, 1, 0, 0)
		served := make(chan string, 1000)
		ask := func(organisation string) {
			g, err := d.Acquire(t.Context(), Request{Service: testService, Organisation: organisation, PromptTokens: 2000})
			is.NoErr(err)
			time.Sleep(time.Second)
			g.Done(Result{Tokens: 100, Complete: true})
			served <- organisation
		}
		for range 100 {
			go ask("large")
		}
		synctest.Wait()
		go ask("small")
		place := 0
		for i := range 101 {
			if <-served == "small" {
				place = i
			}
		}
		is.True(place < 20) // behind the requests already running and one round of the queue
	})
}

// Guards against more work for an engine that has slowed down: long gaps between
// tokens lower the running limit, and short ones raise it again.
func TestRunningLimitFollowsGaps(t *testing.T) {
	is := is.New(t)
	var meter gapMeter
	var limit runningLimit
	meter.target.Store(int64(50 * time.Millisecond))
	now := time.Unix(1000, 0)
	step := func(gap time.Duration) {
		now = now.Add(time.Second)
		for range 100 {
			meter.add(gap)
		}
		limit.update(&meter, min(20, limit.bound()), now)
	}
	step(20 * time.Millisecond)
	is.True(math.IsInf(limit.bound(), 1)) // gaps below the target set no limit
	for range 30 {
		step(80 * time.Millisecond)
	}
	is.Equal(limit.bound(), minRunningLimit)
	step(20 * time.Millisecond)
	is.Equal(limit.bound(), minRunningLimit+limitIncrease)
}

// Guards against overfilled engines after a host starts: ten short generations have
// ended, and the twenty long ones still running must not be estimated as short.
func TestUnfinishedGenerationsCountAsLong(t *testing.T) {
	is := is.New(t)
	var running [lengthBuckets]float64
	l := newLengths(func(string) [lengthBuckets]float64 { return running })
	for range 10 {
		l.add("a", 100, 20)
	}
	short := l.mean("a", 0)
	running[bucketOf(1000)] = 20
	l.add("a", 100, 20)
	is.True(l.mean("a", 0) > 4*short)
}

func TestSurvivalIsADistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLengths(func(string) (counts [lengthBuckets]float64) { return counts })
		for _, tokens := range rapid.SliceOfN(rapid.IntRange(1, 100_000), 0, 300).Draw(t, "lengths") {
			l.add("a", 10, tokens)
		}
		table := l.forOrganisation("a")
		last := 1.0
		for tokens := 1.0; tokens < 200_000; tokens *= 1.3 {
			chance := table.longerThan(tokens)
			if chance < 0 || chance > last+1e-9 {
				t.Fatalf("P(length > %v) = %v, out of range or above the previous %v", tokens, chance, last)
			}
			last = chance
		}
		for k := range table.residual {
			if table.residual[k] < 0 || table.residual[k] > 1+1e-9 {
				t.Fatalf("residual survival out of [0, 1]: %v", table.residual)
			}
		}
	})
}

// Guards against an estimated mean that does not converge to the mean of the
// samples.
func TestMeanIsLearned(t *testing.T) {
	is := is.New(t)
	l := newLengths(func(string) (counts [lengthBuckets]float64) { return counts })
	for i := range 2000 {
		l.add("a", 10, 100+i%400)
	}
	is.True(math.Abs(l.mean("a", 0)-300) < 30)
}

// Guards against calls to plain services that are delayed by the memory forecast,
// which applies to engines only.
func TestPlainServicesAreNotForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		document := testDocument(2)
		document.Kind, document.Model = contract.KindPlain, nil
		d, pool := testDispatcher(t, PolicyForecast, document)
		pool.Report(address(0), backend.LoadReport{Sequence: 1, Running: 3}, time.Now())
		for range 100 {
			_, err := d.Acquire(t.Context(), Request{Service: testService})
			is.NoErr(err)
		}
	})
}

// Guards against placement by reports that are seconds old: they carry no
// timestamp, so their age has to be estimated.
func TestAgeOfReportsIsLearned(t *testing.T) {
	for _, age := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, 2))
		var meter lagMeter
		var last lagSample
		var past history
		now, own, others := time.Unix(1000, 0), 0, 50.0
		var ownThen []int
		for range 1000 {
			now = now.Add(lagStep)
			own = max(0, own+random.IntN(3)-1)
			others += random.NormFloat64()
			ownThen = append(ownThen, own)
			past.add(ownSample{at: now, running: own})
			back := max(0, len(ownThen)-1-int(age/lagStep))
			meter.add(&last, others+float64(ownThen[back]), &past, now)
		}
		is.Equal(meter.lag(), age)
	}
}

// Guards against refusals beside an idle engine because the generation may
// outgrow its memory.
func TestIdleEngineAcceptsGenerationThatMayOutgrowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		document := testDocument(1)
		document.Model.MaxTokens = 100 * testCapacity
		d, pool := testDispatcher(t, PolicyForecast, document)
		report(pool, 0, 1, 0, 0)
		request := Request{Service: testService, PromptTokens: testCapacity - 100}
		first, err := d.Acquire(t.Context(), request)
		is.NoErr(err)
		_, err = d.Acquire(t.Context(), Request{Service: testService, PromptTokens: testCapacity - 100, Deadline: time.Now().Add(100 * time.Millisecond)})
		is.Equal(refusalOf(t, err).Outcome, contract.OutcomeNotRun)
		first.Done(Result{Tokens: 10, Complete: true})
		report(pool, 0, 2, 0, 0)
		second, err := d.Acquire(t.Context(), request)
		is.NoErr(err)
		second.Done(Result{Tokens: 10, Complete: true})
	})
}
