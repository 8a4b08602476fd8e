package gateway

import (
	"strconv"
	"time"

	"go.uber.org/zap"
)

// MsgRequest is the message of the log line that is written at the end of each
// request.
const MsgRequest = "request"

// recordEventTime records when events are relayed, to report the stalls that the
// caller sees.
func (t *task) recordEventTime() {
	now := time.Now()
	if !t.written.IsZero() {
		t.serverPause = max(t.serverPause, now.Sub(t.written))
	}
	if t.firstEvent == 0 {
		t.firstEvent = now.Sub(t.request.Arrived)
	} else if pause := now.Sub(t.lastEvent); pause > t.longestPause {
		t.longestPause, t.pausedAt = pause, now.Sub(t.request.Arrived)
	}
	t.lastEvent = now
}

// late reports whether a complete answer missed the latency goals of its route.
func (t *task) late(o Outcome) bool {
	switch {
	case !o.Complete || t.route == nil:
		return false
	case o.Streamed:
		return t.firstEvent > t.route.Goal || t.route.GapGoal > 0 && t.longestPause > t.route.GapGoal
	}
	return time.Since(t.request.Arrived) > t.route.Goal
}

// log updates the metrics and writes the request's log line.
func (t *task) log(o Outcome) {
	t.gateway.options.Metrics.observe(t, o)
	fields := []zap.Field{
		zap.String("request", t.request.shortID()),
		zap.Int("status", o.Status),
		zap.String("reason", string(o.Reason)),
		zap.Bool("not_run", o.NotRun),
		zap.Duration("took", time.Since(t.request.Arrived)),
		zap.Duration("left", time.Until(t.request.Deadline)),
	}
	if t.late(o) {
		fields = append(fields, zap.Bool("late", true))
	}
	if t.fingerprint != 0 {
		fields = append(fields, zap.String("fingerprint", strconv.FormatUint(t.fingerprint, 16)))
	}
	if len(t.request.Prompt.SharedParts) > 0 {
		fields = append(fields, zap.Strings("prompt_parts", t.request.Prompt.logParts()))
	}
	if o.RetryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", o.RetryAfter))
	}
	if t.configuration != nil {
		fields = append(fields, zap.Uint64("configuration", t.configuration.Version))
	}
	if t.route != nil {
		fields = append(fields, zap.String("route", t.route.Name), zap.String("organisation", t.organisation))
	}
	if t.service != nil {
		fields = append(fields, zap.String("service", t.service.Name), zap.String("server", t.server.ID),
			zap.Int("sends", t.sends), zap.Strings("tried", t.tried))
	}
	if s := t.shortage; s != nil && !o.Complete {
		fields = append(fields, zap.Int("candidates", s.candidates), zap.Int("lack_slots", s.Slots), zap.Int("lack_share", s.Share),
			zap.Int("lack_warmth", s.Warmth), zap.Int("lack_time", s.Time))
	}
	if t.retryDecision != "" {
		fields = append(fields, zap.String("retry_decision", t.retryDecision))
	}
	if t.expected > 0 {
		fields = append(fields, zap.Duration("expected", t.expected))
	}
	if t.waited > 0 {
		fields = append(fields, zap.Duration("waited", t.waited))
	}
	if t.refusal != "" {
		fields = append(fields, zap.String("refusal", t.refusal))
	}
	if t.through != "" {
		fields = append(fields, zap.String("through", t.through))
	}
	if t.framing != "" {
		fields = append(fields, zap.String("framing", string(t.framing)))
	}
	if t.failure != nil && !o.Complete {
		fields = append(fields, zap.NamedError("attempt_error", t.failure))
	}
	if o.Streamed {
		fields = append(fields, zap.Bool("complete", o.Complete), zap.Int("prompt_tokens", t.request.Prompt.Tokens), zap.Duration("first_event", t.firstEvent),
			zap.Int("events", t.events), zap.Int("rest_bytes", t.restBytes), zap.Duration("longest_pause", t.longestPause), zap.Duration("paused_at", t.pausedAt), zap.Int("moves", t.moves))
	}
	if o.Reason == "" {
		t.gateway.options.Logger.Info(MsgRequest, fields...)
		return
	}
	t.gateway.options.Logger.Warn(MsgRequest, fields...)
}
