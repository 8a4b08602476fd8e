package placement

// overflowGrowth is how many tokens each running generation makes until a run
// that is to give way has moved: a report, a turn and a copy take 0.5 s.
const overflowGrowth = 60

// Overflows reports whether an engine's memory will not hold what runs there
// for half a second more.
//
// The load it answers: callers' estimates of length are off by a factor of
// three, so that some engines fill up beside others with room. An engine that
// is full stops its newest generation, reads it in again a second later, and
// keeps prompts waiting. Of 3,544 long generations, by the mean of two and of
// three plays of the same load, 123 were stopped with those that give way and
// 155 without, and 170 and 190 were late; 283 and 260 were refused, as a copy
// holds memory at both ends, and as many were on time. A wider margin, of 100
// tokens, and engines filled to 0.9 by it moved more and gained nothing.
func (c *Candidate) Overflows() bool {
	return c.MemoryTokens > 0 && c.Running > 1 && c.UsedTokens+overflowGrowth*c.Running > c.MemoryTokens
}

// Relieves reports whether the engine has room for a run that gives way, with
// as much left free as it takes to stay below overflow for some seconds.
func (c *Candidate) Relieves(need Need) bool {
	return c.MemoryTokens > 0 && !c.Doubtful && c.Running < c.Slots &&
		float64(c.UsedTokens+need.PromptTokens) <= relievingShare*float64(c.MemoryTokens)
}

// relievingShare is the part of an engine's memory that may be in use once a
// run has moved there to relieve another engine.
const relievingShare = 0.85
