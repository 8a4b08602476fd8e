package peer

import (
	"encoding/binary"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

// State says what this host believes of another one.
type State int

// States in rising precedence within one incarnation and sequence: bad news
// wins over good news until the host itself refutes it with a new sequence.
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

// Member is one entry host as this host knows it.
type Member struct {
	Host          string
	Incarnation   uint64 // rises with every start of the host
	Sequence      uint64 // rises with every refutation within an incarnation
	State         State
	FailureDomain string
	PeerAddress   string
	CallerAddress string
	// Successor took over the records of a host that is gone.
	Successor string
	// Capacity is the host's processor in thousandths of a core; zero: not
	// known. Duties for others go to hosts that have more of it.
	Capacity int
	// StoreAway says that the platform's store does not answer the host.
	StoreAway bool
	// ConfigurationVersion is the newest version in force there, as last
	// heard from the host itself; zero when it was not heard yet.
	ConfigurationVersion store.Version
}

// overrides reports whether m is newer news of a host than known.
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
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		Successor:     m.Successor,
		Capacity:      uint32(m.Capacity),
		StoreAway:     m.StoreAway,
	}
}

func memberFromProto(p *peerpb.Member) Member {
	return Member{
		Host:          p.GetHost(),
		Incarnation:   p.GetIncarnation(),
		Sequence:      p.GetSequence(),
		State:         stateFromProto[p.GetState()],
		FailureDomain: p.GetFailureDomain(),
		PeerAddress:   p.GetPeerAddress(),
		CallerAddress: p.GetCallerAddress(),
		Successor:     p.GetSuccessor(),
		Capacity:      int(p.GetCapacity()),
		StoreAway:     p.GetStoreAway(),
	}
}

// hash names this record of the member.
func (m Member) hash() uint64 {
	numbers := []uint64{m.Incarnation, m.Sequence, uint64(m.State)}
	var b []byte
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return hashStrings(m.Host, m.Successor, string(b))
}

// short leaves out what other hosts know already.
func (m Member) short() Member {
	return Member{Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State, StoreAway: m.StoreAway}
}

// valid reports whether news can be stored at all.
func (m Member) valid() bool {
	return m.Host != "" && m.State != 0 && m.PeerAddress != ""
}
