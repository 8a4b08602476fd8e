package settings

import (
	"bytes"
	"encoding/hex"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/internal/strictyaml"
)

// MaxBytes is the maximum size of a settings file, enough for tens of thousands
// of organisations.
const MaxBytes = 16 << 20

// MinEventKeyBytes is the minimum length of an event key, bytes.
const MinEventKeyBytes = 32

// Defaults of optional fields.
const (
	DefaultBodyBytes       = 1 << 20
	DefaultHeaderBytes     = 64 << 10
	DefaultCallerMemory    = 64 << 20
	DefaultRecords         = 20_000
	DefaultRecordBytes     = 16 << 20
	DefaultRecordAge       = 10 * time.Minute
	DefaultKeepAddresses   = 30 * time.Second
	DefaultKeepAlive       = time.Second
	DefaultWriteDeadline   = 10 * time.Second
	DefaultStopBound       = 10 * time.Minute
	DefaultPlatformCalls   = 4
	DefaultPeerProbePeriod = time.Second
	DefaultLogLevel        = "info"
)

const (
	// maxLimitBytes is the highest value of body_bytes and record_bytes.
	maxLimitBytes = 1 << 30
	// minHeaderBytes and maxHeaderBytes are the lowest and highest value of header_bytes.
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
	// bytesPerHeaderByte is twice the memory that a byte of a head may need.
	bytesPerHeaderByte = 200
	// maxKeepAlive is well below the idle time after which callers consider a
	// connection dead (caller.DefaultSilence). Otherwise callers would
	// repeatedly resume every idle stream.
	maxKeepAlive = 2 * time.Second
)

func parse(file string, data []byte, directory string) (*Settings, error) {
	reader, root := strictyaml.Read(file, data, MaxBytes)
	p := parser{directory: directory}
	s := p.settings(root)
	if err := reader.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

type parser struct {
	directory string // of the settings file; other paths are relative to it
}

func (p parser) settings(m *strictyaml.Mapping) *Settings {
	s := &Settings{
		Host:          hostName(m),
		FailureDomain: m.Text("failure_domain", strictyaml.Required),
		CallerAddress: m.Address("caller_address", strictyaml.Required),
		PeerAddress:   m.Address("peer_address", strictyaml.Required),
		Peers:         m.Addresses("peers", strictyaml.Optional),
		Platform:      m.Address("platform", strictyaml.Required),
		EventKey:      p.eventKey(m),
		OrderToken:    p.orderToken(m),
	}
	s.PreviousEventKeys = p.previousEventKeys(m, s.EventKey)
	s.Distances = distances(m, s.FailureDomain)
	tokens := map[string]bool{}
	s.Operators = operators(m, tokens)
	s.Organisations = organisations(m, tokens)
	s.Limits = limits(m)
	s.TLS = p.tls(m)
	s.LogLevel = m.Choice("log_level", strictyaml.Optional, "debug", "info", "warn", "error")
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if s.PeerAddress != "" && s.PeerAddress == s.CallerAddress {
		m.AddFinding("peer_address", "is already used as caller_address")
	}
	m.ReportUnknownFields()
	return s
}

func hostName(m *strictyaml.Mapping) string {
	host := m.Text("host", strictyaml.Required)
	if host != "" && !contract.ValidName(host) {
		m.AddFinding("host", "must be lower-case letters, digits, - and _, beginning with a letter, not %q", host)
	}
	return host
}

// eventKey reads event_key, or the file named by event_key_file.
func (p parser) eventKey(m *strictyaml.Mapping) []byte {
	text := m.Text("event_key", strictyaml.Optional)
	file := m.Text("event_key_file", strictyaml.Optional)
	field := "event_key"
	switch {
	case text != "" && file != "":
		m.AddFinding("event_key_file", "clashes with event_key: give one of them")
		return nil
	case text == "" && file == "":
		m.AddFinding("event_key", "is missing; give event_key or event_key_file")
		return nil
	case file != "":
		field = "event_key_file"
		content, err := os.ReadFile(p.path(file))
		if err != nil {
			m.AddFinding(field, "cannot be read: %v", err)
			return nil
		}
		text = strings.TrimSpace(string(content))
	}
	key, err := hex.DecodeString(text)
	if err != nil || len(key) < MinEventKeyBytes {
		m.AddFinding(field, "must be at least %d bytes in hexadecimal", MinEventKeyBytes)
		return nil
	}
	return key
}

// previousEventKeys reads the previous event keys, each given directly or as a
// file like event_key. A duplicate key is a finding: it means that a step of the
// key rotation is incomplete.
func (p parser) previousEventKeys(m *strictyaml.Mapping, first []byte) [][]byte {
	var keys [][]byte
	for _, item := range m.Mappings("previous_event_keys", strictyaml.Optional) {
		key := p.eventKey(item)
		item.ReportUnknownFields()
		same := func(other []byte) bool { return bytes.Equal(other, key) }
		if key != nil && (same(first) || slices.ContainsFunc(keys, same)) {
			item.AddFinding("event_key", "is given twice")
		}
		keys = append(keys, key)
	}
	return keys
}

// orderToken reads the file named by order_token_file.
func (p parser) orderToken(m *strictyaml.Mapping) string {
	file := m.Text("order_token_file", strictyaml.Optional)
	if file == "" {
		return ""
	}
	content, err := os.ReadFile(p.path(file))
	if err != nil {
		m.AddFinding("order_token_file", "cannot be read: %v", err)
	}
	return strings.TrimSpace(string(content))
}

func (p parser) path(file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(p.directory, file)
}

func distances(m *strictyaml.Mapping, own string) []Distance {
	var list []Distance
	seen := map[[2]string]bool{}
	ownNamed := false
	for _, item := range m.Mappings("distances", strictyaml.Optional) {
		d := Distance{
			From:    item.Text("from", strictyaml.Required),
			To:      item.Text("to", strictyaml.Required),
			Latency: item.Duration("latency", strictyaml.Required, strictyaml.Range[time.Duration]{Max: 10 * time.Second}),
		}
		item.ReportUnknownFields()
		if d.From != "" && d.From == d.To {
			item.AddFinding("to", "is the same failure domain as from")
		}
		pair := [2]string{min(d.From, d.To), max(d.From, d.To)}
		if seen[pair] && d.From != "" && d.To != "" {
			item.AddFinding("from", "the distance between %q and %q is given twice", d.From, d.To)
		}
		seen[pair] = true
		ownNamed = ownNamed || d.From == own || d.To == own
		list = append(list, d)
	}
	if len(list) > 0 && own != "" && !ownNamed {
		m.AddFinding("failure_domain", "%q is not named in distances", own)
	}
	return list
}

func operators(m *strictyaml.Mapping, tokens map[string]bool) []Operator {
	var list []Operator
	names := map[string]bool{}
	for _, item := range m.Mappings("operators", strictyaml.Optional) {
		operator := Operator{Name: item.Text("name", strictyaml.Required), TokenSHA256: tokenHash(item, tokens)}
		item.ReportUnknownFields()
		checkUnique(item, names, operator.Name)
		list = append(list, operator)
	}
	return list
}

func organisations(m *strictyaml.Mapping, tokens map[string]bool) []Organisation {
	var list []Organisation
	names := map[string]bool{}
	for _, item := range m.Mappings("organisations", strictyaml.Optional) {
		organisation := Organisation{
			Name:        item.Text("name", strictyaml.Required),
			TokenSHA256: tokenHash(item, tokens),
			Services:    item.Texts("services", strictyaml.Optional),
		}
		if item.Has("services") && len(organisation.Services) == 0 {
			item.AddFinding("services", "is empty; leave it out to allow all services")
		}
		item.ReportUnknownFields()
		checkUnique(item, names, organisation.Name)
		list = append(list, organisation)
	}
	return list
}

func checkUnique(m *strictyaml.Mapping, names map[string]bool, name string) {
	if name != "" && names[name] {
		m.AddFinding("name", "%q is given twice", name)
	}
	names[name] = true
}

// tokenHash reads the hash of a token. Two holders of one token would be
// indistinguishable, so a duplicate is a finding.
func tokenHash(m *strictyaml.Mapping, tokens map[string]bool) TokenHash {
	text := m.Text("token_sha256", strictyaml.Required)
	if text == "" {
		return TokenHash{}
	}
	hash, err := ParseTokenHash(text)
	if err != nil {
		m.AddFinding("token_sha256", "%v", err)
		return TokenHash{}
	}
	if tokens[hash.String()] {
		m.AddFinding("token_sha256", "is already used by another operator or organisation")
	}
	tokens[hash.String()] = true
	return hash
}

func limits(m *strictyaml.Mapping) Limits {
	section := m.Mapping("limits", strictyaml.Optional)
	defer section.ReportUnknownFields()
	number := func(name, unit string, lowest, highest, fallback int) int {
		return section.Int(name, strictyaml.Optional, unit, strictyaml.Range[int]{Min: lowest, Max: highest, Default: fallback})
	}
	between := func(name string, lowest, highest, fallback time.Duration) time.Duration {
		return section.Duration(name, strictyaml.Optional, strictyaml.Range[time.Duration]{Min: lowest, Max: highest, Default: fallback})
	}
	duration := func(name string, lowest, fallback time.Duration) time.Duration {
		return between(name, lowest, 24*time.Hour, fallback)
	}
	l := Limits{
		BodyBytes:         number("body_bytes", "bytes", 1024, maxLimitBytes, DefaultBodyBytes),
		HeaderBytes:       number("header_bytes", "bytes", minHeaderBytes, maxHeaderBytes, DefaultHeaderBytes),
		CallerMemory:      number("caller_memory", "bytes", 0, math.MaxInt, 0),
		CallerConnections: number("caller_connections", "connections", 0, math.MaxInt32, 0),
		Records:           number("records", "records", 1, math.MaxInt32, DefaultRecords),
		RecordBytes:       number("record_bytes", "bytes", 1024, maxLimitBytes, DefaultRecordBytes),
		RecordAge:         duration("record_age", time.Second, DefaultRecordAge),
		KeepAddresses:     between("keep_addresses", time.Second, time.Hour, DefaultKeepAddresses),
		KeepAlive:         between("keep_alive", 10*time.Millisecond, maxKeepAlive, DefaultKeepAlive),
		WriteDeadline:     duration("write_deadline", 10*time.Millisecond, DefaultWriteDeadline),
		StopBound:         duration("stop_bound", 0, DefaultStopBound),
		PlatformCalls:     number("platform_calls_per_second", "calls", 1, 10_000, DefaultPlatformCalls),
		LoadsPerMinute:    number("loads_per_minute", "loads", 0, 10_000, 0),
		PeerProbePeriod:   duration("peer_probe_period", 10*time.Millisecond, DefaultPeerProbePeriod),
	}
	// Half of the memory must be enough for a single request: a body in a buffer that grows,
	// and a head of the shortest lines.
	needed := 4*l.BodyBytes + bytesPerHeaderByte*l.HeaderBytes
	switch {
	case l.CallerMemory == 0:
		l.CallerMemory = max(DefaultCallerMemory, needed)
	case l.CallerMemory < needed:
		section.AddFinding("caller_memory", "must be at least %d bytes for body_bytes and header_bytes", needed)
	}
	// With a shorter record_age, the outcome of a key would be dropped while callers
	// still use the key.
	if l.RecordAge < l.KeepAddresses {
		section.AddFinding("record_age", "is shorter than keep_addresses: a key would outlive its record")
	}
	return l
}

func (p parser) tls(m *strictyaml.Mapping) *TLS {
	given := m.Has("tls")
	section := m.Mapping("tls", strictyaml.Optional)
	if !given {
		return nil
	}
	defer section.ReportUnknownFields()
	return &TLS{
		Certificate: p.file(section, "certificate"),
		Key:         p.file(section, "key"),
	}
}

// file reads a path and checks that the file exists, but not that it can be read, so
// that a wrong path is reported before the daemon starts.
func (p parser) file(m *strictyaml.Mapping, field string) string {
	path := p.path(m.Text(field, strictyaml.Required))
	if path == "" {
		return ""
	}
	if _, err := os.Stat(path); err != nil {
		m.AddFinding(field, "cannot be read: %v", err)
	}
	return path
}
