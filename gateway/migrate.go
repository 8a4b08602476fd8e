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
	// moveTimeout bounds one move; an engine that is reclaimed ends within about
	// two seconds.
	moveTimeout    = 2 * time.Second
	discardTimeout = 200 * time.Millisecond
	// moveRetryDelay is the delay between attempts to move one run.
	moveRetryDelay = 50 * time.Millisecond
)

// moveWhenLeaving moves the run whenever its server is leaving, until the run has
// ended.
func (g *Gateway) moveWhenLeaving(ctx context.Context, run *run) {
	for {
		select {
		case <-run.serverLeaving():
		case <-ctx.Done():
			return
		}
		if run.hasEnded() || run.lost() {
			return
		}
		g.migrate(ctx, run)
		if sleep.For(ctx, moveRetryDelay) != nil || run.hasEnded() {
			return
		}
	}
}

// migrate waits for the run's turn and makes one attempt to move it. It does
// nothing before the first event of the run was relayed.
func (g *Gateway) migrate(ctx context.Context, run *run) {
	if !run.started() {
		return
	}
	source, id := run.server(), run.task.request.ID
	turnCtx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	move := migration.Move{Source: source.ID, Run: run.task.request.shortID(), LostWork: run.lostWork(), Need: placement.Need{PromptTokens: run.memoryTokens(), OutputTokens: run.expectedRemaining()}, Except: run.task.disallowedServers()}
	destination, end, err := g.options.Allocator.TakeTurn(turnCtx, run.task.service.Name, move)
	if err != nil {
		return
	}
	defer end()
	if run.hasEnded() || run.lost() {
		return
	}
	reservation := g.options.Fleet.Begin(destination, fleet.Work{ID: id, PromptTokens: move.Need.PromptTokens, OutputTokens: move.Need.OutputTokens, Copied: true}, false)
	if reservation == nil {
		g.recordMove(run, source, "no_destination", nil)
		return
	}
	g.move(ctx, run, source, reservation)
}

// move copies the run's memory while the run continues, stops the run, copies the
// remaining memory and passes the result to the reader of the stream.
func (g *Gateway) move(ctx context.Context, run *run, source fleet.Server, reservation *fleet.Work) {
	target, id := reservation.Server(), run.task.request.ID
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	began := time.Now()
	first, err := g.options.Backend.Copy(ctx, source, target, id, false)
	copied := time.Since(began)
	if err != nil || !first.Done || run.hasEnded() {
		reservation.End()
		g.recordMove(run, source, "copy_failed", err)
		return
	}
	if current, usable := g.options.Fleet.Get(target.ID); !usable || !current.Incarnation().Is(target.Incarnation()) {
		reservation.End()
		g.discard(source, first.Handle)
		g.recordMove(run, source, "destination_left", nil)
		return
	}
	run.discardTransfer()
	run.setMoving(true)
	stopped := time.Now()
	last, err := g.options.Backend.Copy(ctx, source, target, id, true)
	if err == nil && last.Gone {
		run.setMoving(false)
		reservation.End()
		run.deliver(transfer{}) // the reader may already be waiting
		g.discard(source, first.Handle)
		g.recordMove(run, source, "ended_before", nil)
		return
	}
	to := transfer{source: source, handle: last.Handle}
	if to.handle == "" {
		to.handle = first.Handle
	}
	if last.Done || err != nil {
		to.reservations = append(to.reservations, reservation)
	} else {
		reservation.End()
	}
	if !last.Done && !run.lost() {
		// The source has stopped the run but retains its memory, so it may be
		// resumed there.
		if fallback := g.options.Fleet.Begin(source.ID, fleet.Work{ID: id, PromptTokens: run.memoryTokens(), Copied: true}, true); fallback != nil {
			to.reservations = append(to.reservations, fallback)
		}
	}
	run.deliver(to)
	g.recordMove(run, source, moveResult(last, err), err, zap.String("to", target.ID),
		zap.Duration("copy", copied), zap.Duration("stop", time.Since(stopped)), zap.Bool("same_domain", source.Domain == target.Domain))
	select {
	case <-run.transferDone:
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

func moveResult(last CopyResult, err error) string {
	switch {
	case err != nil:
		return "stop_unanswered"
	case !last.Done:
		return "stopped_without_copy"
	}
	return "copied"
}

// recordMove counts and logs the result of an attempt to move a run. All results
// except "copied" are logged as failures, also that of a run that had ended by
// itself before its move.
func (g *Gateway) recordMove(run *run, source fleet.Server, result string, err error, more ...zap.Field) {
	g.options.Metrics.moves.WithLabelValues(result).Inc()
	fields := append(more, zap.String("request", run.task.request.shortID()), zap.String("from", source.ID), zap.String("result", result),
		zap.Int("tokens", run.memoryTokens()))
	if err != nil || result != "copied" {
		g.options.Logger.Warn(msgMoveFailed, append(fields, zap.Error(err))...)
		return
	}
	g.options.Logger.Info(msgMove, fields...)
}
