// Package explain parses the structured logs of entry hosts and reports lost
// requests by route, time and cause. It reads from the given readers only and
// writes no output.
package explain

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// record is one parsed log line.
type record struct {
	Host    string    // host that wrote the line
	At      time.Time `json:"ts"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	// Fields of the line that ends a request.
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	NotRun       bool   `json:"not_run"`
	Route        string `json:"route"`
	Late         bool   `json:"late"`
	Fingerprint  string `json:"fingerprint"`
	PromptTokens int    `json:"prompt_tokens"`
	// Fields of the allocator's lines.
	RequestedBy string `json:"for"` // host that requested the placement
	LackReading int    `json:"lack_reading"`
	LackSlots   int    `json:"lack_slots"`
	LackMemory  int    `json:"lack_memory"`
}

// errInvalidRecord means that a line contains "msg" but is not a valid JSON record.
var errInvalidRecord = errors.New("explain: no structured line")

// parse parses a line. Text before the JSON record is ignored except for its
// last word, which is the host's name in a file with the lines of several hosts;
// without such text, the host is the given one. It returns nil for a line
// without a record.
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
		return nil, errors.CombineErrors(errInvalidRecord, err)
	}
	return &r, nil
}
