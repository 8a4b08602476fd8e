package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/store"
)

// record is the stored form of a lease.
type record struct {
	Holder      string `json:"holder"`
	Acquisition string `json:"acquisition"` // random id of the acquisition
	Renewal     uint64 `json:"renewal"`     // number of the write; makes each write distinct
	// Fence is the version of the write that acquired the lease. It is zero in
	// that write itself, whose version is not yet known. Versions increase
	// store-wide, so the number increases even if the lease's object is deleted
	// in between.
	Fence      store.Version `json:"fence,omitempty"`
	TermMillis int64         `json:"term_ms"`
	// MaxActionMillis is how long an action that was begun in time may run.
	MaxActionMillis int64           `json:"longest_ms"`
	Released        bool            `json:"released,omitempty"`
	State           json.RawMessage `json:"state,omitempty"`
}

func (r record) term() time.Duration { return time.Duration(r.TermMillis) * time.Millisecond }

func (r record) maxActionTime() time.Duration {
	return time.Duration(r.MaxActionMillis) * time.Millisecond
}

func (r record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "lease: encode")
}

func decode(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "lease: decode stored object")
}
