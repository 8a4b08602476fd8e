package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/evacuation"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/placement"
)

const (
	msgMove       = "run moves off a leaving server"
	msgMoveFailed = "run could not be moved"
	msgTurns      = "turns of the runs on a leaving server"

	// reportTimeout bounds the question for a leaving engine's runs; half of
	// the shortest notice would be lost with a longer one.
	reportTimeout = 300 * time.Millisecond
	// copyTimeout bounds one copy; an engine that is reclaimed is gone within
	// about two seconds.
	copyTimeout = 2 * time.Second
	// moveRetry spaces the tries of one run's move.
	moveRetry = 50 * time.Millisecond
	// departuresKept is how long the turns at a server are remembered.
	departuresKept = time.Minute
	// evacuationMemory is the share of an engine's memory that moved runs may
	// fill: a preemption later costs less than a lost run now.
	evacuationMemory = 1.0
)

// departures holds the turns of the runs on servers that leave.
type departures struct {
	mu       *sync.Mutex // guards byServer
	byServer map[string]*departure
}

// departure is one server's leaving, as this host heard of it.
type departure struct {
	noticed time.Time
	once    sync.Once
	turns   map[string]time.Duration
	after   time.Duration // turn of runs that the report lacks
}

func newDepartures() departures {
	return departures{mu: &sync.Mutex{}, byServer: map[string]*departure{}}
}

func (d *departures) of(server string) *departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.byServer[server]; known != nil {
		return known
	}
	for id, old := range d.byServer {
		if time.Since(old.noticed) > departuresKept {
			delete(d.byServer, id)
		}
	}
	made := &departure{noticed: time.Now()}
	d.byServer[server] = made
	return made
}

// guard moves a run whenever its server is leaving, until the run is over.
func (g *Gateway) guard(ctx context.Context, run *run) {
	for {
		select {
		case <-run.gone():
		case <-ctx.Done():
			return
		}
		if run.over() {
			return
		}
		g.evacuate(ctx, run)
		if sleep.For(ctx, moveRetry) != nil || run.over() {
			return
		}
	}
}

// evacuate waits for the run's turn and tries once to move it.
func (g *Gateway) evacuate(ctx context.Context, run *run) {
	source := run.server()
	departure := g.departures.of(source.ID)
	departure.once.Do(func() { g.takeTurns(ctx, departure, source, run) })
	turn, listed := departure.turns[run.task.request.ID]
	if !listed {
		turn = departure.after
	}
	if sleep.For(ctx, time.Until(departure.noticed.Add(turn))) != nil || run.over() || !run.started() {
		return
	}
	booked := g.destination(run, source)
	if booked == nil {
		g.moved(run, source, "no_destination", nil)
		return
	}
	g.move(ctx, run, source, booked)
}

func (g *Gateway) takeTurns(ctx context.Context, d *departure, source fleet.Server, run *run) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	runs, err := g.options.Backend.Runs(ctx, source)
	engine := run.task.service.Engine
	d.turns, d.after = evacuation.Turns(runs, evacuation.Link{BytesPerToken: engine.BytesPerToken, Mbps: engine.LinkMbps})
	g.options.Logger.Info(msgTurns, zap.String("server", source.ID), zap.Int("runs", len(runs)), zap.Duration("after", d.after), zap.Error(err))
}

// destination books the run on the server where it is to go on, or returns nil.
func (g *Gateway) destination(run *run, source fleet.Server) *fleet.Work {
	table, name := g.options.Fleet, run.task.service.Name
	candidates := table.Candidates(name, source.Domain)
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	mine := map[string]bool{}
	for _, id := range evacuation.Share(ids, table.Leaving(name), source.ID) {
		mine[id] = true
	}
	own := candidates[:0:0]
	for _, c := range candidates {
		if mine[c.ID] {
			own = append(own, c)
		}
	}
	need := placement.Need{PromptTokens: run.tokens(), OutputTokens: run.expectedMore()}
	limits := g.options.Limits
	limits.Memory = evacuationMemory
	for _, some := range [][]placement.Candidate{own, candidates} {
		if i := placement.Pick(need, some, limits, rand.IntN); i >= 0 {
			return table.Begin(some[i].ID, fleet.Work{ID: run.task.request.ID, PromptTokens: need.PromptTokens, OutputTokens: need.OutputTokens}, false)
		}
	}
	return nil
}

// move copies the run's memory while it goes on, stops it, copies the rest and
// hands over to the reader of the stream.
func (g *Gateway) move(ctx context.Context, run *run, source fleet.Server, booked *fleet.Work) {
	target, id := booked.Server(), run.task.request.ID
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	first, err := g.options.Backend.Copy(ctx, source, target, id, false)
	if err != nil || !first.Done || run.over() {
		booked.End()
		g.moved(run, source, "copy_failed", err)
		return
	}
	if _, usable := g.options.Fleet.Get(target.ID); !usable {
		booked.End()
		g.moved(run, source, "destination_left", nil)
		return
	}
	run.dropTransfer()
	run.setMoving(true)
	last, err := g.options.Backend.Copy(ctx, source, target, id, true)
	if err == nil && last.Gone {
		run.setMoving(false)
		booked.End()
		run.transfers <- transfer{} // for a reader that waits already
		g.moved(run, source, "ended_before", nil)
		return
	}
	to := transfer{source: source, handle: last.Handle}
	if to.handle == "" {
		to.handle = first.Handle
	}
	if last.Done || err != nil {
		to.works = append(to.works, booked)
	} else {
		booked.End()
	}
	if !last.Done {
		// The source has stopped the run and keeps its memory: it may go on there.
		if back := g.options.Fleet.Begin(source.ID, fleet.Work{ID: id, PromptTokens: run.tokens()}, true); back != nil {
			to.works = append(to.works, back)
		}
	}
	run.transfers <- to
	g.moved(run, source, moveResult(last, err), err, zap.String("to", target.ID))
	select {
	case <-run.settled:
	case <-ctx.Done():
	}
}

func moveResult(last Copied, err error) string {
	switch {
	case err != nil:
		return "stop_unanswered"
	case !last.Done:
		return "stopped_without_copy"
	}
	return "copied"
}

func (g *Gateway) moved(run *run, source fleet.Server, result string, err error, more ...zap.Field) {
	g.options.Metrics.moves.WithLabelValues(result).Inc()
	fields := append(more, zap.String("request", run.task.request.ID), zap.String("from", source.ID), zap.String("result", result),
		zap.Int("tokens", run.tokens()))
	if err != nil || result != "copied" {
		g.options.Logger.Warn(msgMoveFailed, append(fields, zap.Error(err))...)
		return
	}
	g.options.Logger.Info(msgMove, fields...)
}
