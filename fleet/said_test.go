package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/placement"
)

// Replayed load: 72 hosts call two plain servers with 6 slots each while a
// third one is down. Calls arrive a tenth faster than the two can answer.
const (
	saidHosts    = 72
	saidServers  = 2
	saidSlots    = 6
	saidQueue    = 24
	saidWork     = 32 * time.Millisecond
	saidGoal     = 150 * time.Millisecond
	saidPerStep  = 0.42 // calls per ms
	saidSteps    = 4000 // of one ms each
	saidWaitMost = 19   // ms that a call waits for capacity
)

// saidServer is a plain server, represented by the end times of its requests.
type saidServer struct {
	mu   sync.Mutex // guards ends
	ends []time.Time
}

// take admits a call and returns when it ends. It returns false if the server is full.
func (s *saidServer) take(now time.Time) (ends time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = slices.DeleteFunc(s.ends, func(end time.Time) bool { return !now.Before(end) })
	if len(s.ends) >= saidSlots+saidQueue {
		return time.Time{}, false
	}
	begins := now
	if n := len(s.ends); n >= saidSlots {
		begins = s.ends[n-saidSlots]
	}
	s.ends = append(s.ends, begins.Add(saidWork))
	return begins.Add(saidWork), true
}

// load is the number of requests that the server reports at a given time.
func (s *saidServer) load(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, end := range s.ends {
		if now.Before(end) {
			left++
		}
	}
	return left
}

type saidCall struct {
	host    int
	arrived time.Time
}

// saidReplay is the replayed fleet.
type saidReplay struct {
	random  *rand.Rand
	servers map[string]*saidServer
	tables  []*Table
	told    bool // hosts use the load that servers report
	came    int
	onTime  int
}

func newSaidReplay(told bool) *saidReplay {
	r := &saidReplay{random: rand.New(rand.NewPCG(1, 1)), servers: map[string]*saidServer{}, told: told}
	for h := range saidHosts {
		table := NewTable(fmt.Sprintf("h%d", h), zap.NewNop())
		for s := range saidServers {
			id := fmt.Sprintf("s%d", s)
			table.Put(Server{ID: id, Service: "plain", Address: id, Domain: "d", Slots: saidSlots})
			r.servers[id] = &saidServer{}
		}
		r.tables = append(r.tables, table)
	}
	return r
}

// send sends a call if its host knows of a server with capacity.
func (r *saidReplay) send(c saidCall) bool {
	table := r.tables[c.host]
	candidates := table.Candidates("plain", "d")
	i := placement.Pick(placement.Need{}, candidates, placement.DefaultLimits, r.random.IntN)
	if i < 0 {
		return false
	}
	server := r.servers[candidates[i].ID]
	ends, ok := server.take(time.Now())
	if !ok {
		return true // rejected by the server
	}
	if ends.Sub(c.arrived) <= saidGoal {
		r.onTime++
	}
	work := table.Begin(candidates[i].ID, Work{}, false)
	time.AfterFunc(time.Until(ends), func() {
		if r.told {
			work.Says(server.load(time.Now()))
		}
		work.End()
	})
	return true
}

func (r *saidReplay) play() {
	var waiting []saidCall
	for range saidSteps {
		if r.random.Float64() < saidPerStep {
			r.came++
			waiting = append(waiting, saidCall{r.random.IntN(saidHosts), time.Now()})
		}
		waiting = slices.DeleteFunc(waiting, func(c saidCall) bool {
			return r.send(c) || time.Since(c.arrived) >= saidWaitMost*time.Millisecond
		})
		time.Sleep(time.Millisecond)
		synctest.Wait()
	}
	time.Sleep(time.Second) // wait for the last calls to end
}

// Guards against calls that are all late because each host takes servers with
// full queues for empty.
func TestCallsKeepOutOfFullQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		heeded, blind := newSaidReplay(true), newSaidReplay(false)
		heeded.play()
		blind.play()
		t.Logf("%d came, %d on time; %d without the servers' word", heeded.came, heeded.onTime, blind.onTime)
		is.True(heeded.onTime*100 > heeded.came*80) // two servers can answer 89 of 100
		is.True(heeded.onTime > blind.onTime)
	})
}
