package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

func sample() string {
	return `host: akarsu-1
failure_domain: ankara
caller_address: 127.0.0.1:7480
peer_address: 127.0.0.1:7580
peers: ["127.0.0.1:7581", "127.0.0.1:7582"]
platform: 127.0.0.1:7400
event_key: ` + key + `
distances:
  - {from: ankara, to: konya, latency: 1.5ms}
operators:
  - name: duty
    token_sha256: ` + HashToken("operator").String() + `
organisations:
  - name: dsi
    token_sha256: ` + HashToken("dsi").String() + `
    services: [outlook]
`
}

func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s", []byte(sample()))
	is.NoErr(err)
	is.Equal(s.Latency("konya", "ankara"), 1500*time.Microsecond)
	is.Equal(s.Latency("konya", "konya"), time.Duration(0))
	is.Equal(s.FailureDomains(), []string{"ankara", "konya"})
	is.Equal(s.Limits, DefaultLimits())
	is.Equal(s.LogLevel, DefaultLogLevel)

	tokens := s.Tokens()
	operator, ok := tokens.Operator("operator")
	is.True(ok)
	is.Equal(operator.Name, "duty")
	organisation, ok := tokens.Organisation("dsi")
	is.True(ok)
	is.True(organisation.MayUse("outlook"))
	is.True(!organisation.MayUse("gauges"))
	_, ok = tokens.Organisation("operator")
	is.True(!ok) // an operator's token gives no access to services
	_, ok = tokens.Operator("")
	is.True(!ok)
}

// Guards against limits on what callers hold that a single request within the other limits
// meets.
func TestCallerMemoryHoldsAWholeRequest(t *testing.T) {
	is := is.New(t)
	limitsOf := func(text string) (Limits, error) {
		s, err := Parse("s", []byte(sample()+"limits: {"+text+"}\n"))
		if err != nil {
			return Limits{}, err
		}
		return s.Limits, nil
	}
	l, err := limitsOf("body_bytes: 100000000")
	is.NoErr(err)
	is.True(l.CallerMemory > 400_000_000)
	l, err = limitsOf("caller_memory: 20000000, caller_connections: 50, header_bytes: 16384")
	is.NoErr(err)
	is.Equal(l.CallerMemory, 20_000_000)
	is.Equal(l.CallerConnections, 50)
	is.Equal(l.HeaderBytes, 16384)
	for text, field := range map[string]string{
		"caller_memory: 1000000": "caller_memory", "caller_memory: -1": "caller_memory", "caller_connections: -1": "caller_connections", "header_bytes: 100": "header_bytes",
	} {
		_, err := limitsOf(text)
		is.True(err != nil && strings.Contains(err.Error(), field))
	}
}

// Guards against an organisation that may use all services once its last one was removed.
func TestEmptyListOfServicesIsAMistake(t *testing.T) {
	is := is.New(t)
	for _, empty := range []string{"services: []", "services:"} {
		_, err := Parse("s", []byte(strings.Replace(sample(), "services: [outlook]", empty, 1)))
		is.True(err != nil && strings.Contains(err.Error(), "services"))
	}
	s, err := Parse("s", []byte(strings.Replace(sample(), "    services: [outlook]\n", "", 1)))
	is.NoErr(err)
	organisation, _ := s.Tokens().Organisation("dsi")
	is.True(organisation.MayUse("gauges"))
	is.True(!Organisation{Services: []string{}}.MayUse("gauges"))
}

func TestParseReportsAllMistakesTogether(t *testing.T) {
	is := is.New(t)
	broken := strings.NewReplacer(
		"host: akarsu-1", "hostname: akarsu-1",
		"127.0.0.1:7580", "localhost:7580",
		"1.5ms", "1.5",
		HashToken("dsi").String(), HashToken("operator").String(),
		key, "abcd",
	).Replace(sample()) + "limits: {body_bytes: 1MB, keep_alive: 10s, keep_addresses: 30m}\ntls: {certificate: none.pem, key: none.pem}\n"
	_, err := Parse("s", []byte(broken))
	is.True(err != nil)
	for _, want := range []string{
		"s:1:1: host: is missing", "s:1:1: unknown field hostname",
		"s:4:15: peer_address: must be IP:port", "s:7:12: event_key: must be at least 32 bytes",
		"s:9:40: latency: must be a duration", "token_sha256: is already used",
		"body_bytes: must be a whole number of bytes", "keep_alive: must be from 10ms to 2s", "record_age: is shorter than keep_addresses",
		"certificate: cannot be read", "key: cannot be read",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
}

// Guards against lax checks of previous event keys, given in a file or directly, and
// against a duplicate key, which results from an incomplete key rotation.
func TestPreviousEventKeys(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	other, third := strings.Repeat("cd", 32), strings.Repeat("ef", 32)
	is.NoErr(os.WriteFile(filepath.Join(directory, "old.key"), []byte(other+"\n"), 0o600))
	load := func(list string) (*Settings, error) {
		file := filepath.Join(directory, "s.yaml")
		is.NoErr(os.WriteFile(file, []byte(sample()+"previous_event_keys: "+list+"\n"), 0o600))
		return Load(file)
	}
	s, err := load("[{event_key_file: old.key}, {event_key: " + third + "}]")
	is.NoErr(err)
	is.Equal(len(s.PreviousEventKeys), 2)
	is.Equal(s.PreviousEventKeys[0][0], byte(0xcd))
	is.Equal(s.PreviousEventKeys[1][0], byte(0xef))
	for list, want := range map[string]string{
		"[{event_key: abcd}]":                                      "at least 32 bytes",
		"[{event_key: " + key + "}]":                               "is given twice",
		"[{event_key: " + third + "}, {event_key: " + third + "}]": "is given twice",
		"[{event_key_file: none.key}]":                             "cannot be read",
		"[{}]":                                                     "is missing",
		"[" + third + "]":                                          "must be a mapping",
	} {
		_, err := load(list)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v does not contain %q", list, err, want)
		}
	}
}

func TestLoadReadsEventKeyBesideTheFile(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	text := strings.Replace(sample(), "event_key: "+key, "event_key_file: event.key", 1)
	is.NoErr(os.WriteFile(filepath.Join(directory, "s.yaml"), []byte(text), 0o600))
	_, err := Load(filepath.Join(directory, "s.yaml"))
	is.True(err != nil) // the key file is missing
	is.NoErr(os.WriteFile(filepath.Join(directory, "event.key"), []byte(key+"\n"), 0o600))
	s, err := Load(filepath.Join(directory, "s.yaml"))
	is.NoErr(err)
	is.Equal(len(s.EventKey), 32)
}
