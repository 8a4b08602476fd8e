package engine

// faults counts the answers and chunks that are still to be corrupted. The
// engine's mutex guards it.
type faults struct {
	crossAnswers int
	crossChunks  int
	skipChunks   int
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
