package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/migration"
	"github.com/papayasail/papayasail/placement"
)

const (
	msgMove       = "run moves off a leaving server"
	msgMoveFailed = "run could not be moved"

	// turnTimeout bounds the wait for a turn; a leaving engine has usually ended
	// after two seconds.
	turnTimeout = 3 * time.Second
	// copyTimeout bounds one move; an engine that is reclaimed ends within about
	// two seconds.
	copyTimeout    = 2 * time.Second
	discardTimeout = 200 * time.Millisecond
	// moveRetry is the delay between attempts to move one run.
	moveRetry = 50 * time.Millisecond
)

// guard moves the run whenever its server is leaving, until the run has ended.
func (g *Gateway) guard(ctx context.Context, run *run) {
	for {
		select {
		case <-run.gone():
		case <-ctx.Done():
			return
		}
		if run.over() || run.lost() {
			return
		}
		g.migrate(ctx, run)
		if sleep.For(ctx, moveRetry) != nil || run.over() {
			return
		}
	}
}

// migrate waits for the run's turn and makes one attempt to move it.
func (g *Gateway) migrate(ctx context.Context, run *run) {
	if !run.started() {
		return
	}
	source, id := run.server(), run.task.request.ID
	waiting, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	move := migration.Move{Source: source.ID, Run: id, Size: run.size(), Need: placement.Need{PromptTokens: run.tokens(), OutputTokens: run.expectedMore()}}
	destination, end, err := g.options.Allocator.TakeTurn(waiting, run.task.service.Name, move)
	if err != nil {
		return
	}
	defer end()
	if run.over() || run.lost() {
		return
	}
	booked := g.options.Fleet.Begin(destination, fleet.Work{ID: id, PromptTokens: move.Need.PromptTokens, OutputTokens: move.Need.OutputTokens, Copied: true}, false)
	if booked == nil {
		g.moved(run, source, "no_destination", nil)
		return
	}
	g.move(ctx, run, source, booked)
}

// move copies the run's memory while the run continues, stops the run, copies the
// remaining memory and passes the result to the reader of the stream.
func (g *Gateway) move(ctx context.Context, run *run, source fleet.Server, booked *fleet.Work) {
	target, id := booked.Server(), run.task.request.ID
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	began := time.Now()
	first, err := g.options.Backend.Copy(ctx, source, target, id, false)
	copied := time.Since(began)
	if err != nil || !first.Done || run.over() {
		booked.End()
		g.moved(run, source, "copy_failed", err)
		return
	}
	if current, usable := g.options.Fleet.Get(target.ID); !usable || !current.Life().Is(target.Life()) {
		booked.End()
		g.discard(source, first.Handle)
		g.moved(run, source, "destination_left", nil)
		return
	}
	run.dropTransfer()
	run.setMoving(true)
	stopped := time.Now()
	last, err := g.options.Backend.Copy(ctx, source, target, id, true)
	if err == nil && last.Gone {
		run.setMoving(false)
		booked.End()
		run.hand(transfer{}) // the reader may already be waiting
		g.discard(source, first.Handle)
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
	if !last.Done && !run.lost() {
		// The source has stopped the run but retains its memory, so it may be
		// resumed there.
		if back := g.options.Fleet.Begin(source.ID, fleet.Work{ID: id, PromptTokens: run.tokens(), Copied: true}, true); back != nil {
			to.works = append(to.works, back)
		}
	}
	run.hand(to)
	g.moved(run, source, moveResult(last, err), err, zap.String("to", target.ID),
		zap.Duration("copy", copied), zap.Duration("stop", time.Since(stopped)), zap.Bool("same_domain", source.Domain == target.Domain))
	select {
	case <-run.settled:
	case <-ctx.Done():
	}
}

// discard frees a copy that will not be used. If the call is lost, the engine
// frees the copy by itself some seconds later.
func (g *Gateway) discard(source fleet.Server, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	_ = g.options.Backend.Discard(ctx, source, handle)
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
