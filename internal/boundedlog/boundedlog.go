// Package boundedlog provides a logger that never blocks its callers.
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
	// queueSize is the maximum number of lines that wait for the output, and queueBytes
	// their maximum size together.
	queueSize  = 1024
	queueBytes = 1 << 20
	// Of the lines with the same level and message, the first sampleFirst lines of each second
	// are written, and after those one in sampleThereafter. Lines about failures have
	// another level and thus a separate limit.
	sampleFirst      = 100
	sampleThereafter = 50
)

// Writer writes lines in the background. It drops lines when its queue is full,
// for example because the output is blocked.
type Writer struct {
	lines   chan []byte
	queued  atomic.Int64 // bytes of lines
	output  io.Writer
	dropped atomic.Uint64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a writer to output and starts its goroutine, which Close
// ends.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueSize), output: output, closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line, or drops the line if the queue is full. It never
// blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > queueBytes || !w.enqueue(line) {
		w.queued.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.lines <- append([]byte(nil), line...):
		return true
	default:
		return false
	}
}

// Sync implements zapcore.WriteSyncer. It does nothing; lines are written in the
// background.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and ends the writer. It returns after at most one
// second; lines that are not written by then may be lost.
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
			w.writeLine(line)
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
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1) // the error can't be logged, only counted
	}
	w.queued.Add(-int64(len(line)))
}

// New returns a logger of JSON lines to writer. Lines left out by sampling and
// lines dropped by the writer are counted in metrics.
func New(writer *Writer, level zapcore.Level, registerer prometheus.Registerer) *zap.Logger {
	sampled := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "papayasail_log_sampled_total",
		Help: "Log lines left out by sampling, because of too many similar lines in one second.",
	})
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "papayasail_log_dropped_total",
		Help: "Log lines dropped because the output was blocked or failed.",
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
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, hook))
}
