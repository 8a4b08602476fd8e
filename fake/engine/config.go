// Package engine is a small stand-in for a model engine, for tests, the demo
// and benchmarks. docs/ENGINE.md is its published interface. It simulates
// continuous batching, preemption when memory is full, a prompt prefix cache and
// stale reports, and it executes orders. It works in testing/synctest bubbles.
package engine

import (
	"fmt"
	"time"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/internal/defaults"
)

// Config configures an Engine. A zero value selects the default given in the
// field's comment, if any.
type Config struct {
	Name string
	Seed uint64 // for output lengths, lost reports and lost cache events

	TokenCapacity       int           // tokens that fit into memory, prompt and output (default 16,384)
	MaxBatch            int           // generations in one batch (default 32)
	MaxWaiting          int           // queued generations above which new ones are refused (default 256)
	StepBase            time.Duration // base duration of a step (default 10 ms)
	StepPerRunning      time.Duration // plus this for each running generation (default 200 µs)
	StepPerPrefillToken time.Duration // plus this for each prefilled token (default 20 µs)

	MedianTokens int     // median output length if x_stop_after is absent (default 120)
	LengthSigma  float64 // sigma of the log-normal distribution of lengths (default 1.0)
	MaxTokens    int     // maximum output length (default 4,096)

	Grace     time.Duration // time after which a generation without readers is cancelled (default 10 s)
	Keep      time.Duration // how long an ended generation is kept for resumption (default 60 s)
	KeepAlive time.Duration // interval of SSE comments on an idle stream (default 1 s)

	// ChunksPerReport is the interval, in chunks, of load reports in a stream; 0: none.
	ChunksPerReport int
	ReportLag       time.Duration             // age of load reports
	ReportLoss      float64                   // ratio of load requests refused, 0 to 1
	AlterReport     func(*backend.LoadReport) // alters each report before it is sent

	CacheTokens int           // capacity of the prefix cache in tokens (default 8,192)
	CacheLag    time.Duration // delay until cache events become visible
	CacheLoss   float64       // ratio of cache events dropped, 0 to 1

	Models      []string      // loaded at start, as name@version
	LoadTime    time.Duration // duration of loading or unloading a model
	HonourFence bool          // refuse orders with a stale fencing number
	OrderToken  string        // bearer token required for orders; empty: none

	// CrashingPart is a text that crashes the engine when it begins to write an answer
	// to a prompt with it; empty: none. OnCrashingPrompt is called when such a
	// generation arrives.
	CrashingPart     string
	OnCrashingPrompt func()
}

const (
	defaultTokenCapacity       = 16 << 10
	defaultMaxBatch            = 32
	defaultMaxWaiting          = 256
	defaultStepBase            = 10 * time.Millisecond
	defaultStepPerRunning      = 200 * time.Microsecond
	defaultStepPerPrefillToken = 20 * time.Microsecond
	defaultMedianTokens        = 120
	defaultLengthSigma         = 1.0
	defaultMaxTokens           = 4096
	defaultGrace               = 10 * time.Second
	defaultKeep                = time.Minute
	defaultKeepAlive           = time.Second
	defaultCacheTokens         = 8 << 10
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.TokenCapacity, defaultTokenCapacity)
	defaults.Set(&c.MaxBatch, defaultMaxBatch)
	defaults.Set(&c.MaxWaiting, defaultMaxWaiting)
	defaults.Set(&c.StepBase, defaultStepBase)
	defaults.Set(&c.StepPerRunning, defaultStepPerRunning)
	defaults.Set(&c.StepPerPrefillToken, defaultStepPerPrefillToken)
	defaults.Set(&c.MedianTokens, defaultMedianTokens)
	defaults.Set(&c.LengthSigma, defaultLengthSigma)
	defaults.Set(&c.MaxTokens, defaultMaxTokens)
	defaults.Set(&c.Grace, defaultGrace)
	defaults.Set(&c.Keep, defaultKeep)
	defaults.Set(&c.KeepAlive, defaultKeepAlive)
	defaults.Set(&c.CacheTokens, defaultCacheTokens)
	return c
}

// TokenText returns the text of a generation's token, which lets a caller check
// the origin and the order of every token that it receives.
func TokenText(generationID string, index int) string {
	return fmt.Sprintf("%s.%d ", generationID, index)
}
