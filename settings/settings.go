// Package settings reads the settings of an entry host. They are the only source
// of the host's own addresses, its failure domain and its initial peers.
package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the settings of one entry host.
type Settings struct {
	Host          string // name, unique among entry hosts
	FailureDomain string
	CallerAddress string   // IP:port for callers and operators
	PeerAddress   string   // IP:port for other entry hosts
	Peers         []string // initial peer addresses, IP:port
	Platform      string   // IP:port of the platform's metadata store
	EventKey      []byte   // HMAC-SHA256 key that signs event ids, the same on all entry hosts
	// PreviousEventKeys are used to verify, never to sign, so that event ids
	// signed by hosts with another EventKey stay valid during a key rotation.
	PreviousEventKeys [][]byte
	OrderToken        string // sent with orders to backend servers that check it; empty: none
	Operators         []Operator
	Organisations     []Organisation
	Distances         []Distance
	Limits            Limits
	TLS               *TLS // nil: plain HTTP for callers and operators
	LogLevel          string
}

// Operator may change and read everything.
type Operator struct {
	Name        string
	TokenSHA256 TokenHash
}

// Organisation may use the listed services.
type Organisation struct {
	Name        string
	TokenSHA256 TokenHash
	Services    []string // nil: all services
}

// Distance is the usual one-way latency between two failure domains, the same
// in both directions.
type Distance struct {
	From, To string
	Latency  time.Duration
}

// Limits bounds the resources and wait times of one entry host.
type Limits struct {
	BodyBytes    int // maximum size of a request body, bytes
	HeaderBytes  int // maximum size of a request's head, bytes
	CallerMemory int // memory for callers' connections, heads and bodies, bytes
	// CallerConnections is the maximum number of open connections of callers; 0: half of
	// the descriptors that the operating system allows.
	CallerConnections int
	Records           int           // maximum number of outcomes stored for idempotency keys
	RecordBytes       int           // maximum total size of answers stored for idempotency keys, bytes
	RecordAge         time.Duration // minimum retention of an outcome
	KeepAddresses     time.Duration // maximum time for which callers cache the address list; also the length of an epoch
	KeepAlive         time.Duration // interval of keep-alive comments in an idle stream
	WriteDeadline     time.Duration // maximum time of a blocked write to a caller
	StopBound         time.Duration // maximum duration of a graceful stop
	PlatformCalls     int           // maximum calls per second of this host to the platform's store
	LoadsPerMinute    int           // model loads that the weight store allows for the whole fleet; 0: no limit
	PeerProbePeriod   time.Duration // interval between probes of other entry hosts
}

// TLS gives the PEM files for the caller address.
type TLS struct {
	Certificate string
	Key         string
}

// DefaultLimits returns the limits used for fields that are not set.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: DefaultBodyBytes, HeaderBytes: DefaultHeaderBytes, CallerMemory: DefaultCallerMemory, Records: DefaultRecords, RecordBytes: DefaultRecordBytes, RecordAge: DefaultRecordAge,
		KeepAddresses: DefaultKeepAddresses, KeepAlive: DefaultKeepAlive, WriteDeadline: DefaultWriteDeadline,
		StopBound: DefaultStopBound, PlatformCalls: DefaultPlatformCalls,
		PeerProbePeriod: DefaultPeerProbePeriod,
	}
}

// Load reads settings from a file. Relative paths in the settings are resolved
// against the directory of the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return parse(file, data, filepath.Dir(file))
}

// Parse reads settings from data; file is the file name in findings. Relative
// paths in data are resolved against the working directory. All mistakes are
// returned together as one findings.List.
func Parse(file string, data []byte) (*Settings, error) {
	return parse(file, data, "")
}

// Latency returns the one-way latency between two failure domains: zero within
// one domain, and the longest listed latency for a pair that is not listed. It is
// zero if no distances are listed. domain.Distances has another default.
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

// OrganisationNames returns the names of all organisations, or nil if the
// settings list none. In that case organisations are in the configuration, and
// names can't be validated against the settings.
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
