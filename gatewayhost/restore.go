package gatewayhost

import (
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const msgNewEra = "platform store came back from an older copy"

// handleNewEra is called when this host first sees a new era of the store. What the
// operator and the servers wrote they write again; the quarantine is this system's.
func (h *Host) handleNewEra(era uint64) {
	h.logger.Warn(msgNewEra, zap.Uint64("era", era), zap.Duration("grace", replica.RestoreGrace))
	h.relistExcept("")
	if len(h.quarantine.All()) > 0 && h.watch.Watches() {
		h.scheduleQuarantineWrite()
	}
}

// across decides between the contents of an object before and after the store came
// back from an older copy, which may lack the newest changes. What protects servers is
// kept until the servers and the operator have had time to write again: that a server
// leaves or is gone, and that a failure domain is evacuated. A server whose entry is
// missing is kept too. A configuration never returns to an older version.
func (h *Host) across(older, newer store.Object) replica.Precedence {
	switch older.Kind {
	case h.options.Objects.Configuration:
		return h.configurationAcross(older, newer)
	case h.options.Objects.Servers:
		return h.serverAcross(older, newer)
	}
	if newer.Deleted {
		return replica.KeptForGrace
	}
	return replica.Replaced
}

func (h *Host) configurationAcross(older, newer store.Object) replica.Precedence {
	before, err := h.options.Objects.ReadConfiguration(older.Value)
	if older.Deleted || err != nil {
		return replica.Replaced
	}
	after, err := h.options.Objects.ReadConfiguration(newer.Value)
	if newer.Deleted || err != nil || after.Version < before.Version {
		return replica.Kept
	}
	return replica.Replaced
}

func (h *Host) serverAcross(older, newer store.Object) replica.Precedence {
	if older.Deleted || newer.Deleted {
		return replica.KeptForGrace
	}
	before, err := h.options.Objects.ReadServer(older.Name, older.Value)
	if err != nil {
		return replica.Replaced
	}
	after, err := h.options.Objects.ReadServer(newer.Name, newer.Value)
	sameIncarnation := before.Incarnation().Is(after.Incarnation())
	if err != nil || sameIncarnation && before.Leaving && !after.Leaving || !sameIncarnation && after.Born < before.Born {
		return replica.KeptForGrace
	}
	return replica.Replaced
}

// sameEra reports whether the order of two versions of the configuration says which
// content is newer. Across eras it does not.
func sameEra(a, b uint64) bool { return store.Version(a).Era() == store.Version(b).Era() }
