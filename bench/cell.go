package bench

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/contract"
)

// cellRun is the run of one policy at one load with one seed.
type cellRun struct {
	site     site
	policy   string
	load     float64
	seed     uint64
	script   script
	warm     time.Duration
	measured time.Duration
	burst    burst

	deployment *deployment
	meter      *meter
	oracle     *oracle
	requests   sync.WaitGroup
}

// burst changes the load for a limited time; the zero value means no burst.
type burst struct {
	at, length time.Duration // after the start of the measured window
	load       float64
}

// drainTimeout is how long a run waits for open streams after the end of the
// load.
const drainTimeout = 5 * time.Second

func (c *cellRun) loadAt(at time.Duration) float64 {
	at -= c.warm
	if c.burst.length > 0 && at >= c.burst.at && at < c.burst.at+c.burst.length {
		return c.burst.load
	}
	return c.load
}

// run deploys the site, sends the load and returns the measurements.
func (c *cellRun) run(ctx context.Context) (Cell, error) {
	attempts := 1
	if len(c.script.steps) > 0 {
		attempts = attemptsWithFaults
	}
	d, err := deploy(ctx, c.site, c.policy, c.seed, attempts)
	if err != nil {
		return Cell{}, err
	}
	defer d.close()
	c.deployment = d
	end := c.warm + c.measured
	all := generateArrivals(c.site, c.seed, c.loadAt, end)
	c.meter = newMeter(time.Now(), c.warm, end)
	c.oracle = newOracle(c.seed, c.site.idempotent)
	streams, cancelStreams := context.WithCancel(ctx)
	defer cancelStreams()
	waitFaults := c.script.start(ctx, c)
	preempted := c.watchPreemptions(ctx, end)
	if err := c.send(ctx, streams, all); err != nil {
		return Cell{}, err
	}
	c.drain(cancelStreams)
	waitFaults()
	c.oracle.checkRuns(d.engines, all)
	return c.result(<-preempted), nil
}

// send sends each request at its intended time, independent of the progress of
// earlier requests, and returns at the end of the measured window.
func (c *cellRun) send(ctx, streams context.Context, all []arrival) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range all {
		timer.Reset(time.Until(c.meter.start.Add(a.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "bench")
		}
		c.requests.Go(func() { c.request(streams, a) })
	}
	time.Sleep(time.Until(c.meter.start.Add(c.warm + c.measured)))
	return nil
}

// drain waits for the open streams and cancels those that outlast drainTimeout.
func (c *cellRun) drain(cancelStreams context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout, cancelStreams)
	c.requests.Wait()
	timer.Stop()
}

// request sends one request and reads its stream to the end.
func (c *cellRun) request(ctx context.Context, a arrival) {
	c.meter.addRequest(a)
	clients := c.deployment.callers[a.organisation]
	stream, err := clients[a.host%len(clients)].Generate(ctx, c.site.service, caller.Request{Prompt: a.prompt, StopAfter: a.tokens})
	if err != nil {
		c.recordFailure(a, err)
		return
	}
	defer stream.Close()
	check := &answerCheck{oracle: c.oracle, number: a.number}
	var last time.Time
	for {
		token, err := stream.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			check.checkEnd(a.tokens)
			c.meter.addAnswer(a, check.next, now)
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				c.recordFailure(a, err)
			}
			return
		}
		check.checkToken(token.Index, token.Text)
		c.meter.addToken(a, now, last)
		last = now
	}
}

func (c *cellRun) recordFailure(a arrival, err error) {
	var refusal *contract.Refusal
	if !errors.As(err, &refusal) {
		refusal = contract.Unknown("", 0, err.Error())
	}
	c.oracle.recordOutcome(a.number, refusal.Outcome)
	c.meter.addRefusal(a, refusal, time.Now())
}

// watchPreemptions counts the engines' preemptions in the measured window. The
// returned channel receives the count at the end of the window.
func (c *cellRun) watchPreemptions(ctx context.Context, end time.Duration) <-chan int {
	result := make(chan int, 1)
	go func() {
		before := c.preemptionsAt(ctx, c.warm)
		result <- c.preemptionsAt(ctx, end) - before
	}()
	return result
}

func (c *cellRun) preemptionsAt(ctx context.Context, at time.Duration) int {
	select {
	case <-time.After(time.Until(c.meter.start.Add(at))):
	case <-ctx.Done():
	}
	total := 0
	for _, e := range c.deployment.engines {
		total += int(e.Counters().Preemptions)
	}
	return total
}
