// Package boundedlog makes a logger that never blocks the work it describes.
package boundedlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queued is how many lines wait for the output; of some 400 bytes each
	// they take less than half a megabyte.
	queued = 1024
	// Of lines that are alike, first go out each second, and then one in
	// thereafter. Lines about failures have another level, and so a bound of
	// their own.
	first      = 100
	thereafter = 50
)

// Writer writes lines in the background and drops those for which there is no
// room, as when nobody reads the output.
type Writer struct {
	lines   chan []byte
	output  io.Writer
	dropped atomic.Uint64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a writer to output, which Close ends.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queued), output: output, closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines go out by themselves.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, for a second at most.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1) // there is nowhere to say so but the counter
	}
}

// New returns a logger of JSON lines to writer. What the bound on alike lines
// leaves out, and what the writer drops, is counted.
func New(writer *Writer, level zapcore.Level, registerer prometheus.Registerer) *zap.Logger {
	sampled := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "papayasail_log_sampled_total",
		Help: "Log lines left out, as many alike came in one second.",
	})
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "papayasail_log_dropped_total",
		Help: "Log lines dropped, as the output did not take them.",
	}, func() float64 { return float64(writer.Dropped()) })
	registerer.MustRegister(sampled, dropped)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, level)
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped > 0 {
			sampled.Inc()
		}
	})
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, first, thereafter, hook))
}
