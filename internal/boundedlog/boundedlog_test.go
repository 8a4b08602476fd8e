package boundedlog

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// blockedOutput is an output that blocks until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLogNeverBlocks(t *testing.T) {
	// Guards against requests that block on logging when the process's output is not
	// read. Lines that exceed the queue are counted as dropped.
	is := is.New(t)
	release := make(chan struct{})
	w := NewWriter(blockedOutput{release})
	for range 3 * queueSize {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(w.Dropped() >= 2*queueSize-1)
	close(release)
	w.Close()
}

type collected struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

func (c *collected) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(p)
}

func TestAlikeLinesAreBounded(t *testing.T) {
	is := is.New(t)
	out := &collected{}
	w := NewWriter(out)
	logger := New(w, zap.InfoLevel, prometheus.NewRegistry())
	for range 10 * sampleFirst {
		logger.Info("request")
	}
	logger.Warn("request")
	w.Close()
	is.True(strings.Count(out.text.String(), `"level":"info"`) < 2*sampleFirst)
	is.Equal(strings.Count(out.text.String(), `"level":"warn"`), 1)
}

// Guards against long lines that use up the memory of the process while its output is not
// read.
func TestWaitingLinesAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	out := &gatedOutput{release: release}
	w := NewWriter(out)
	line := []byte(strings.Repeat("a", 60<<10))
	for range queueSize {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	_, err := w.Write([]byte("short\n")) // there is room for it
	is.NoErr(err)
	close(release)
	w.Close()
	is.True(out.written <= queueBytes+len(line)) // one line is with the output
	is.True(out.written > queueBytes/2)
	is.Equal(w.queued.Load(), int64(0))
}

// gatedOutput counts bytes, and blocks until release is closed.
type gatedOutput struct {
	release chan struct{}
	written int // bytes
}

func (o *gatedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.written += len(p)
	return len(p), nil
}
