package engine

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
)

// ErrClosed is returned by Serve after Close.
var ErrClosed = errors.New("engine: closed")

// Engine is a stand-in model engine. It is an http.Handler; Run executes its steps.
type Engine struct {
	config Config
	mux    *http.ServeMux
	wake   chan struct{} // capacity 1: signals that there may be work

	mu          sync.Mutex // guards the fields below
	random      *rand.Rand
	generations map[string]*generation
	waiting     []*generation
	running     []*generation
	arrivals    uint64
	prefill     int // tokens to prefill in the next step
	paused      bool
	leaving     bool
	leaveAt     time.Time // zero: no time announced
	closed      bool
	servers     []*http.Server
	cache       prefixCache
	reports     reportLog
	orders      orderState
	faults      faults
	journal     journal
}

// New returns an engine; Run or Serve starts it.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:      config,
		wake:        make(chan struct{}, 1),
		random:      rand.New(rand.NewPCG(config.Seed, config.Seed)),
		generations: map[string]*generation{},
		cache:       newPrefixCache(config.CacheTokens),
		orders:      newOrderState(config.Models),
		journal:     newJournal(),
	}
	e.reports.record(time.Now(), e.reportLocked())
	e.routes()
	return e
}

// Run executes steps until ctx ends or Close is called.
func (e *Engine) Run(ctx context.Context) {
	for {
		step, ok := e.planStep()
		if !ok {
			select {
			case <-e.wake:
			case <-ctx.Done():
				return
			}
			if e.Closed() {
				return
			}
			continue
		}
		timer := time.NewTimer(step)
		select {
		case <-timer.C:
			e.step()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Serve runs the engine and serves it on a listener until Close. It returns
// ErrClosed after Close.
func (e *Engine) Serve(listener net.Listener) error {
	server := &http.Server{Handler: e}
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return errors.CombineErrors(ErrClosed, listener.Close())
	}
	e.servers = append(e.servers, server)
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	err := server.Serve(listener)
	cancel()
	<-done
	if errors.Is(err, http.ErrServerClosed) {
		return ErrClosed
	}
	return err
}

// Close stops the engine immediately, as SIGKILL does: connections break and all
// generations are lost.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	servers := e.servers
	e.generations = map[string]*generation{}
	e.waiting, e.running = nil, nil
	e.mu.Unlock()
	e.wakeRun()
	var err error
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Close())
	}
	return err
}

// Leave makes the engine refuse new work, or accept it again if leaving is false.
// Running generations continue.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.leaveAt = time.Time{}
	e.reports.record(time.Now(), e.reportLocked())
}

// Reclaim makes the engine report that it is leaving, and closes it after the given
// time even if generations are running.
func (e *Engine) Reclaim(after time.Duration) {
	e.Leave(true)
	e.mu.Lock()
	e.leaveAt = time.Now().Add(after)
	e.reports.record(time.Now(), e.reportLocked())
	e.mu.Unlock()
	time.AfterFunc(after, func() { e.Close() })
}

// Pause suspends the engine's steps, or resumes them if paused is false. Streams get
// no tokens meanwhile, but connections and keep-alives continue.
func (e *Engine) Pause(paused bool) {
	e.mu.Lock()
	e.paused = paused
	e.mu.Unlock()
	e.wakeRun()
}

// Closed reports whether the engine is closed.
func (e *Engine) Closed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// wakeRun makes Run check for work.
func (e *Engine) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// startLocked creates a generation and queues it.
func (e *Engine) startLocked(request backend.CompletionRequest) *generation {
	e.arrivals++
	limit := e.config.MaxTokens
	if request.MaxTokens > 0 {
		limit = min(limit, request.MaxTokens)
	}
	g := &generation{
		id:           request.GenerationID,
		prompt:       request.Prompt,
		prefix:       backend.PrefixHash(request.Prompt),
		promptTokens: backend.PromptTokens(request.Prompt),
		priority:     request.Priority,
		arrival:      e.arrivals,
		length:       e.length(request),
		limit:        limit,
		changed:      make(chan struct{}),
	}
	e.generations[g.id] = g
	if e.crashes(g) && e.config.OnCrashingPrompt != nil {
		e.config.OnCrashingPrompt()
	}
	e.queueLocked(g)
	e.journal.started(g)
	e.reports.record(time.Now(), e.reportLocked())
	return g
}

// queueLocked inserts a generation into the queue by priority and arrival.
func (e *Engine) queueLocked(g *generation) {
	g.phase = waiting
	at, _ := slices.BinarySearchFunc(e.waiting, g, func(queued, added *generation) int {
		if queued.before(added) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, g)
}

// length returns the output length of a generation in tokens. A drawn length depends
// only on the engine's seed and the generation id, not on the order of arrival.
func (e *Engine) length(request backend.CompletionRequest) int {
	if request.StopAfter > 0 {
		return request.StopAfter
	}
	return drawLength(e.config, request.GenerationID)
}

// endLocked ends a generation and keeps it for resumption for the time Keep.
func (e *Engine) endLocked(g *generation, finish string) {
	if g.phase == ended {
		return
	}
	e.waiting = remove(e.waiting, g)
	e.running = remove(e.running, g)
	g.phase, g.finish, g.endedAt = ended, finish, time.Now()
	g.notify()
	e.journal.ended(g)
	e.reports.record(time.Now(), e.reportLocked())
	time.AfterFunc(e.config.Keep, func() { e.forget(g) })
}

// forget deletes an ended generation.
func (e *Engine) forget(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.id] == g {
		delete(e.generations, g.id)
	}
}

// attachLocked adds a reader to a generation; detach removes it.
func (e *Engine) attachLocked(g *generation) { g.readers++ }

func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.detachedAt = time.Now()
	if g.readers == 0 && g.phase != ended {
		e.cancelUnreadLocked(g)
	}
}

// cancelUnreadLocked schedules the cancellation of a generation, which takes place
// if it has no reader for the time Grace.
func (e *Engine) cancelUnreadLocked(g *generation) {
	time.AfterFunc(e.config.Grace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		// Another reader may have attached and detached meanwhile.
		if g.readers == 0 && time.Since(g.detachedAt) >= e.config.Grace {
			e.endLocked(g, finishCancelled)
		}
	})
}

func remove(list []*generation, g *generation) []*generation {
	if at := slices.Index(list, g); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}
