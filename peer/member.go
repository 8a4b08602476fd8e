package peer

import (
	"encoding/binary"

	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

// State is the state of a member in this host's view.
type State int

// States in rising precedence within one incarnation and sequence: the worse
// state wins until the member itself refutes it with a higher sequence.
const (
	StateAlive State = iota + 1
	StateLeaving
	StateSuspect
	StateGone
)

// String returns the state's name in the operators' API.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateLeaving:
		return "leaving"
	case StateSuspect:
		return "suspect"
	case StateGone:
		return "gone"
	}
	return "unspecified"
}

// Member is the record of one entry host in this host's view.
type Member struct {
	Host          string
	Incarnation   uint64 // identifies a start of the host; normally higher with each, see Options.Self
	Sequence      uint64 // increases with every change that the host makes to its own record
	State         State
	FailureDomain string
	Region        string // of the failure domain; "": not known
	PeerAddress   string
	CallerAddress string
	// Successor is the host that takes over the records of a leaving or gone
	// host; empty: none.
	Successor string
	// Capacity is the host's CPU capacity in thousandths of a core; zero:
	// unknown. Fleet-wide duties go to hosts with more capacity.
	Capacity int
	// StoreUnreachable reports that the platform's store does not answer the
	// host.
	StoreUnreachable bool
	// ConfigurationVersion is the newest version in force on the host, as last
	// received from the host itself; zero: none received yet.
	ConfigurationVersion store.Version
}

// overrides reports whether m takes precedence over the known record of the
// same host.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	if m.Sequence != known.Sequence {
		return m.Sequence > known.Sequence
	}
	if m.State != known.State {
		return m.State > known.State
	}
	return m.Successor > known.Successor
}

var stateToProto = map[State]peerpb.MemberState{
	StateAlive:   peerpb.MemberState_ALIVE,
	StateLeaving: peerpb.MemberState_LEAVING,
	StateSuspect: peerpb.MemberState_SUSPECT,
	StateGone:    peerpb.MemberState_GONE,
}

var stateFromProto = map[peerpb.MemberState]State{
	peerpb.MemberState_ALIVE:   StateAlive,
	peerpb.MemberState_LEAVING: StateLeaving,
	peerpb.MemberState_SUSPECT: StateSuspect,
	peerpb.MemberState_GONE:    StateGone,
}

func (m Member) toProto() *peerpb.Member {
	return &peerpb.Member{
		Host:          m.Host,
		Incarnation:   m.Incarnation,
		Sequence:      m.Sequence,
		State:         stateToProto[m.State],
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		Successor:     m.Successor,
		Capacity:      uint32(m.Capacity),
		StoreAway:     m.StoreUnreachable,
	}
}

func memberFromProto(p *peerpb.Member) Member {
	return Member{
		Host:             p.GetHost(),
		Incarnation:      p.GetIncarnation(),
		Sequence:         p.GetSequence(),
		State:            stateFromProto[p.GetState()],
		FailureDomain:    p.GetFailureDomain(),
		Region:           p.GetRegion(),
		PeerAddress:      p.GetPeerAddress(),
		CallerAddress:    p.GetCallerAddress(),
		Successor:        p.GetSuccessor(),
		Capacity:         int(p.GetCapacity()),
		StoreUnreachable: p.GetStoreAway(),
	}
}

// hash identifies this version of the member's record.
func (m Member) hash() uint64 {
	numbers := []uint64{m.Incarnation, m.Sequence, uint64(m.State)}
	var b []byte
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return hashStrings(m.Host, m.Successor, string(b))
}

// short returns the record without the addresses, failure domain, region and capacity,
// which other hosts have already; see table.fillIn.
func (m Member) short() Member {
	return Member{Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State, StoreUnreachable: m.StoreUnreachable}
}

// valid reports whether the record has the fields required to store it.
func (m Member) valid() bool {
	return m.Host != "" && m.State != 0 && m.PeerAddress != ""
}
