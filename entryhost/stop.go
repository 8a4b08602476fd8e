package entryhost

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
)

// Stop stops the host gracefully: the host is withdrawn from address responses,
// refuses new work ("not run"), waits for the work in flight, hands over its
// records and ends Run. If ctx is done first, the remaining requests are cut
// off; their callers can resume streams at another host.
func (h *Host) Stop(ctx context.Context) error {
	h.logger.Info(msgStopping)
	h.leaving.Store(true)
	h.node.Leave("")
	_ = sleep.For(ctx, h.options.AnnounceDelay)
	h.refusing.Store(true)
	h.ledger.Close()
	h.awaitWork(ctx)
	h.handOver(ctx)
	// A repeated request that arrived during the hand-over may still be reading
	// its stream; later ones are referred to other hosts.
	h.closing.Store(true)
	h.awaitWork(ctx)
	h.finishAnswers(ctx)
	if err := h.node.FinishTunnels(ctx); err != nil {
		h.logger.Warn(msgTunnelsCutOff, zap.Int("tunnels", h.node.Tunnels()))
	}
	h.stop()
	<-h.stopped
	h.logger.Info(msgStopped)
	return ctx.Err()
}

// awaitWork waits until no work is in flight or ctx is done.
func (h *Host) awaitWork(ctx context.Context) {
	select {
	case <-h.ledger.Idle():
	case <-ctx.Done():
	}
	select {
	case <-h.inFlight.idle(): // new work is refused; Stop's second call awaits requests that arrive later
	case <-ctx.Done():
	}
}

// finishAnswers stops accepting connections and waits until all responses are
// sent. A request no longer counts as in flight once its response is complete,
// but part of the response may still be in the server's write buffer.
func (h *Host) finishAnswers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answersTimeout)
	defer cancel()
	if err := h.server.Shutdown(ctx); err != nil {
		h.logger.Warn(msgAnswersCutOff, zap.Error(err))
	}
}

const (
	// answersTimeout limits the wait for callers that read slowly.
	answersTimeout = 5 * time.Second

	handOverTimeout = 8 * time.Second // for the records of all incarnations
	pageTimeout     = time.Second     // for one page
	pageTries       = 2
)

// handOver sends the records of each incarnation to the first successor that
// accepts all of them.
//
// Without the records, a request that is repeated after the stop would be
// answered with "unknown" although the outcome is known. The ledger is closed, so
// no request can start. The records are final, except those of requests that
// still run because ctx ended the wait: they are handed over as not finished.
func (h *Host) handOver(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer stop()
	for incarnation, pages := range h.ledger.Pages() {
		for _, successor := range successors(h.node.Members(), h.settings.Host, incarnation) {
			err := h.handOverTo(ctx, successor.Host, pages)
			if err == nil {
				break
			}
			h.logger.Warn(msgNotHandedOver, zap.String("host", successor.Host), zap.Error(err))
		}
	}
}

// handOverTo sends the pages of one incarnation to a host. A page without a
// response is sent again over a new connection, since the old one may no longer
// deliver data. Receiving a page twice has no further effect.
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

// inFlightCounter counts the requests in flight.
type inFlightCounter struct {
	mu    sync.Mutex // guards the fields below
	count int
	empty chan struct{} // closed while count is zero
}

func newInFlightCounter() *inFlightCounter {
	empty := make(chan struct{})
	close(empty)
	return &inFlightCounter{empty: empty}
}

func (c *inFlightCounter) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		c.empty = make(chan struct{})
	}
	c.count++
}

func (c *inFlightCounter) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count--; c.count == 0 {
		close(c.empty)
	}
}

// idle returns a channel that is closed while no request is in flight.
func (c *inFlightCounter) idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.empty
}
