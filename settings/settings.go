// Package settings reads the settings of an entry host. A process learns its
// addresses, failure domain and peers from nowhere else.
package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings of one entry host.
type Settings struct {
	Host          string // name, unique among entry hosts
	FailureDomain string
	CallerAddress string   // IP:port for callers and operators
	PeerAddress   string   // IP:port for other entry hosts
	Peers         []string // peer addresses to start from, IP:port
	Platform      string   // IP:port of the platform's metadata store
	EventKey      []byte   // HMAC key of event ids and homes, the same on all entry hosts
	// PreviousEventKeys are checked, but sign nothing: event ids that hosts with
	// another EventKey have given out, or soon will, stay good.
	PreviousEventKeys [][]byte
	OrderToken        string // sent with orders to backend servers that check them; empty: none
	Operators         []Operator
	Organisations     []Organisation
	Distances         []Distance
	Limits            Limits
	TLS               *TLS // nil: plain HTTP towards callers
	LogLevel          string
}

// Operator may change and read everything.
type Operator struct {
	Name        string
	TokenSHA256 TokenHash
}

// Organisation may use the services that are named.
type Organisation struct {
	Name        string
	TokenSHA256 TokenHash
	Services    []string // empty: all services
}

// Distance is the usual one-way latency between two failure domains, the same
// in both directions.
type Distance struct {
	From, To string
	Latency  time.Duration
}

// Limits bounds what one entry host holds and how long it waits.
type Limits struct {
	BodyBytes       int           // longest request body, bytes
	Records         int           // outcomes kept for idempotency keys
	RecordBytes     int           // bytes of answers kept for idempotency keys
	RecordAge       time.Duration // how long an outcome is kept at least
	KeepAddresses   time.Duration // how long callers keep the address answer
	KeepAlive       time.Duration // interval of comments in a silent stream
	WriteDeadline   time.Duration // longest wait for a caller to take data
	StopBound       time.Duration // longest graceful stop
	PlatformCalls   int           // platform calls a second
	LoadsPerMinute  int           // model loads that the weight store allows the whole fleet; 0: no limit
	PeerProbePeriod time.Duration // one probe of another entry host each period
}

// TLS names the PEM files for the caller address.
type TLS struct {
	Certificate string
	Key         string
}

// DefaultLimits returns the limits that settings without any have.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: DefaultBodyBytes, Records: DefaultRecords, RecordBytes: DefaultRecordBytes, RecordAge: DefaultRecordAge,
		KeepAddresses: DefaultKeepAddresses, KeepAlive: DefaultKeepAlive, WriteDeadline: DefaultWriteDeadline,
		StopBound: DefaultStopBound, PlatformCalls: DefaultPlatformCalls,
		PeerProbePeriod: DefaultPeerProbePeriod,
	}
}

// Load reads settings from a file. Paths within are relative to the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return parse(file, data, filepath.Dir(file))
}

// Parse reads settings from data; file is used in findings, and paths within
// data are relative to the working directory. All mistakes are collected and
// returned as one findings.List.
func Parse(file string, data []byte) (*Settings, error) {
	return parse(file, data, "")
}

// Latency returns the one-way latency between two failure domains: zero
// within one, and the longest known one for a pair that is not listed.
func (s *Settings) Latency(from, to string) time.Duration {
	if from == to {
		return 0
	}
	var longest time.Duration
	for _, d := range s.Distances {
		if (d.From == from && d.To == to) || (d.From == to && d.To == from) {
			return d.Latency
		}
		longest = max(longest, d.Latency)
	}
	return longest
}

// FailureDomains returns the failure domains that the settings name.
func (s *Settings) FailureDomains() []string {
	domains := []string{s.FailureDomain}
	seen := map[string]bool{s.FailureDomain: true}
	for _, d := range s.Distances {
		for _, domain := range []string{d.From, d.To} {
			if !seen[domain] {
				seen[domain] = true
				domains = append(domains, domain)
			}
		}
	}
	return domains
}

// OrganisationNames returns the names of all organisations; nil if there are
// none: then they stand in the configuration, and no name can be called wrong.
func (s *Settings) OrganisationNames() []string {
	if len(s.Organisations) == 0 {
		return nil
	}
	names := make([]string, len(s.Organisations))
	for i, organisation := range s.Organisations {
		names[i] = organisation.Name
	}
	return names
}
