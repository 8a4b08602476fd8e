package placement

// Late returns the limits for work that can no longer be on time. It leaves the
// memory that one second of arriving on-time work needs, as a share of the total
// memory of the engines, and does not wait for other prompts to be prefilled.
func (l Limits) Late(onTimeTokensPerSecond float64, totalMemory int) Limits {
	if totalMemory > 0 {
		kept := onTimeTokensPerSecond / float64(totalMemory)
		l.Memory, l.ReturningMemory = max(0, l.Memory-kept), max(0, l.ReturningMemory-kept)
	}
	l.Unread = 1 // zero would mean no limit
	return l
}
