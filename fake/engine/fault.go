package engine

// faults counts the answers and chunks that are still to be corrupted. The
// engine's mutex guards it.
type faults struct {
	crossAnswers int
	crossChunks  int
	skipChunks   int
	unframed     []StreamEnd // of the next streams
}

// StreamEnd is how a stream without length or chunks ends.
type StreamEnd int

const (
	// EndWhole ends the stream after its end marker, in order.
	EndWhole StreamEnd = iota
	// CutBetween closes the connection in order after the first chunk, CutInside within
	// the second one. The generation continues.
	CutBetween
	CutInside
	// ResetBetween and ResetInside reset the connection there.
	ResetBetween
	ResetInside
)

// UnframedStreams makes the next streams have neither a length nor chunks, one for each
// end.
func (e *Engine) UnframedStreams(ends ...StreamEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.unframed = append(e.faults.unframed, ends...)
}

// takeUnframed returns the end of a stream that has neither a length nor chunks; ok is
// false if the stream has chunks.
func (e *Engine) takeUnframed() (end StreamEnd, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults.unframed) == 0 {
		return EndWhole, false
	}
	end, e.faults.unframed = e.faults.unframed[0], e.faults.unframed[1:]
	return end, true
}

// CrossAnswers makes the next n answers carry another request's id.
func (e *Engine) CrossAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crossAnswers = n
}

// CrossChunks makes the next n chunks carry another generation's id and text.
func (e *Engine) CrossChunks(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crossChunks = n
}

// SkipChunks drops the next n chunks of streams.
func (e *Engine) SkipChunks(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.skipChunks = n
}

// consumeFault decrements a fault counter and reports whether it was above zero.
func (e *Engine) consumeFault(count *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}
