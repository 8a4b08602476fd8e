package entryhost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// Stop stops the host gracefully: it leaves the address answer, then refuses
// new work ("not run"), lets all that runs finish, hands over its records and
// ends Run. When ctx ends first, what still runs is cut off; its callers can
// take their streams up elsewhere.
func (h *Host) Stop(ctx context.Context) error {
	h.logger.Info(msgStopping)
	h.leaving.Store(true)
	h.node.Leave("")
	_ = sleep.For(ctx, h.options.AnnounceDelay)
	h.refusing.Store(true)
	h.ledger.Close()
	h.awaitWork(ctx)
	h.handOver(ctx)
	// A repeat that came in during the hand-over may be reading its stream;
	// later ones are sent elsewhere.
	h.closing.Store(true)
	h.awaitWork(ctx)
	h.finishAnswers(ctx)
	h.stop()
	<-h.stopped
	h.logger.Info(msgStopped)
	return ctx.Err()
}

// awaitWork waits until nothing runs any more, or ctx ends.
func (h *Host) awaitWork(ctx context.Context) {
	select {
	case <-h.ledger.Idle():
	case <-ctx.Done():
	}
	select {
	case <-h.inFlight.zero(): // nothing new starts, so it stays zero
	case <-ctx.Done():
	}
}

// finishAnswers takes no connection any more and waits until all answers are
// out. A request is no longer in flight once its answer is made, of which a part
// may still be in the server's buffer.
func (h *Host) finishAnswers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answersTimeout)
	defer cancel()
	if err := h.server.Shutdown(ctx); err != nil {
		h.logger.Warn(msgAnswersCutOff, zap.Error(err))
	}
}

const (
	// answersTimeout bounds the wait for callers that are slow to read.
	answersTimeout = 5 * time.Second

	handOverTimeout = 8 * time.Second // for all lives
	pageTimeout     = time.Second     // for one page
	pageTries       = 2
)

// handOver passes the records to the first successor that takes all of them.
//
// Guards against a repeat after the stop: without the records its caller would
// hear "unknown" where the answer is known. The ledger is closed, so nothing
// can start any more and the records are final.
func (h *Host) handOver(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer stop()
	for life, pages := range h.ledger.Pages() {
		for _, successor := range successors(h.node.Members(), h.settings.Host, life) {
			err := h.handOverTo(ctx, successor.Host, pages)
			if err == nil {
				break
			}
			h.logger.Warn(msgNotHandedOver, zap.String("host", successor.Host), zap.Error(err))
		}
	}
}

// handOverTo passes the pages of one life to a host. A page without answer is
// sent again, over a fresh connection: the old one may have gone silent. A
// page that arrives twice changes nothing.
func (h *Host) handOverTo(ctx context.Context, host string, pages []*peerpb.HandOverRequest) error {
	for _, page := range pages {
		var err error
		for range pageTries {
			short, stop := context.WithTimeout(ctx, pageTimeout)
			err = h.node.HandOver(short, host, page)
			stop()
			if err == nil {
				break
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// gauge counts requests in flight.
type gauge struct {
	mu    sync.Mutex // guards both below
	count int
	empty chan struct{} // closed while count is zero
}

func newGauge() *gauge {
	empty := make(chan struct{})
	close(empty)
	return &gauge{empty: empty}
}

func (g *gauge) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count == 0 {
		g.empty = make(chan struct{})
	}
	g.count++
}

func (g *gauge) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count--; g.count == 0 {
		close(g.empty)
	}
}

// zero returns a channel that is closed when nothing is in flight.
func (g *gauge) zero() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.empty
}
