// Package explain reads the structured logs of entry hosts and says where
// requests were lost: how many, of which route, at which moments and for what
// cause. It does no input or output but for reading what it is given.
package explain

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// record is one line of a log.
type record struct {
	Host    string    // that wrote it
	At      time.Time `json:"ts"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	// Of the line that ends a request.
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	NotRun       bool   `json:"not_run"`
	Route        string `json:"route"`
	Late         bool   `json:"late"`
	Fingerprint  string `json:"fingerprint"`
	PromptTokens int    `json:"prompt_tokens"`
	// Of the allocator's lines.
	For         string `json:"for"` // the host that has the request
	LackReading int    `json:"lack_reading"`
	LackSlots   int    `json:"lack_slots"`
	LackMemory  int    `json:"lack_memory"`
}

var errNoRecord = errors.New("explain: no structured line")

// parse reads a line. What stands before the record is kept out of it, but for
// its last word: where the lines of several hosts are in one file, that is the
// host's name. It returns nil for a line without a record.
func parse(line []byte, host string) (*record, error) {
	begin := bytes.IndexByte(line, '{')
	if begin < 0 {
		return nil, nil
	}
	if words := bytes.Fields(line[:begin]); len(words) > 0 {
		host = string(words[len(words)-1])
	}
	if !bytes.Contains(line[begin:], []byte(`"msg"`)) {
		return nil, nil
	}
	r := record{Host: host}
	if err := json.Unmarshal(line[begin:], &r); err != nil {
		return nil, errors.CombineErrors(errNoRecord, err)
	}
	return &r, nil
}
