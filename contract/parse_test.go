package contract

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/findings"
)

const outlook = `service: outlook
owner: hydrology
kind: model
model:
  name: basin
  version: "3"
  max_tokens: 4096
  idempotent: true
backend_servers:
  - name: engine-1
    address: 127.0.0.1:9001
    failure_domain: ankara
  - name: engine-2
    address: 127.0.0.1:9002
    failure_domain: konya
organisations:
  - organisation: dsi
    weight: 4
deadlines:
  gap: 1.5s
placement:
  risk: 0.02
`

func TestParseDocumentFillsDefaults(t *testing.T) {
	is := is.New(t)
	d, err := ParseDocument("outlook.yaml", []byte(outlook))
	is.NoErr(err)
	is.Equal(d.Deadlines.Gap, 1500*time.Millisecond)
	is.Equal(d.Deadlines.Queue, DefaultQueueDeadline)
	is.Equal(d.Placement, Placement{Risk: 0.02, TargetGap: DefaultTargetGap})
	is.Equal(d.Model.MinWorkers, DefaultMinWorkers)
	is.Equal(d.Retry.BudgetPercent, DefaultRetryBudgetPercent)
	is.Equal(d.LimitOf("dsi").Weight, 4)
}

// Guards against a parser that stops at the first mistake: five wrong changes in one
// document would cost the author five attempts. Each is reported with its position.
func TestParseDocumentReportsAllMistakesTogether(t *testing.T) {
	is := is.New(t)
	broken := strings.NewReplacer(
		"owner: hydrology", "ownr: hydrology", // unknown field and, with it, a missing one
		"gap: 1.5s", "gap: 1500", // wrong unit
		"127.0.0.1:9002", "127.0.0.1:9001", // clash
		"risk: 0.02", "risk: 5%", // wrong unit
		"4096", "4k",
	).Replace(outlook)
	_, err := ParseDocument("outlook.yaml", []byte(broken))
	var list findings.List
	is.True(errors.As(err, &list))
	is.Equal(len(list), 6)
	for i, want := range []string{
		"outlook.yaml:1:1: owner: is missing",
		"outlook.yaml:2:1: unknown field ownr",
		`outlook.yaml:7:15: max_tokens: must be a whole number of tokens`,
		`outlook.yaml:14:14: address: "127.0.0.1:9001" is already used`,
		`outlook.yaml:20:8: gap: must be a duration with its unit`,
		`outlook.yaml:22:9: risk: must be a share`,
	} {
		if !strings.HasPrefix(list[i].String(), want) {
			t.Errorf("finding %d is %q, want %q", i, list[i], want)
		}
	}
}

func TestParseDocumentMistakes(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(outlook, old, with, 1) }
	cases := map[string]struct{ text, want string }{
		"not yaml":        {"service: [", "d:1:"},
		"empty":           {"", "exactly one YAML document"},
		"two documents":   {outlook + "---\n" + outlook, "exactly one YAML document"},
		"a list":          {"- a\n- b\n", "must be a mapping"},
		"too long":        {"# " + strings.Repeat("x", MaxDocumentBytes), "at most"},
		"field twice":     {outlook + "owner: b\n", "owner is given twice"},
		"null":            {replace("owner: hydrology", "owner:"), "owner: has no value"},
		"alias":           {replace("owner: hydrology", "owner: &x hydrology"), "anchors, aliases and tags"},
		"bad name":        {replace("service: outlook", "service: Out/look"), "lower-case letters"},
		"bad kind":        {replace("kind: model", "kind: modle"), "must be one of"},
		"host name":       {replace("127.0.0.1:9001", "engine:9001"), "must be IP:port"},
		"name twice":      {replace("engine-2", "engine-1"), `"engine-1" is already used`},
		"limit twice":     {replace("deadlines:", "  - organisation: dsi\ndeadlines:"), "another limit"},
		"total on model":  {replace("gap: 1.5s", "total: 1s"), "clashes with kind model"},
		"calls on model":  {outlook + "calls: []\n", "clashes with kind model"},
		"min workers":     {replace("max_tokens", "min_workers: 3\n  max_tokens"), "only 2 backend servers"},
		"negative weight": {replace("weight: 4", "weight: -4"), "from 1 to"},
		"share above one": {replace("0.02", "1.5"), "share from 0 to 1"},
		"not a number":    {replace("0.02", ".nan"), "must be a share"},
		"no servers":      {replace(outlook[strings.Index(outlook, "backend_servers"):strings.Index(outlook, "organisations")], "backend_servers: []\n"), "is empty"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := ParseDocument("d", []byte(c.text))
			is.True(err != nil)
			is.True(d == nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestParseDocumentPlain(t *testing.T) {
	is := is.New(t)
	text := "service: gauges\nowner: duty\nkind: plain\nmodel: {name: x}\nbackend_servers: [{name: g1, address: '127.0.0.1:1', failure_domain: konya}]\n" +
		"calls:\n  - {method: POST, path_prefix: /alarms, idempotent: false}\n  - {method: POST, path_prefix: /alarms, idempotent: true}\n  - {method: FETCH, path_prefix: readings, idempotent: true}\n"
	_, err := ParseDocumentFor("g", []byte(text), References{FailureDomains: []string{"ankara"}})
	for _, want := range []string{"kind plain", "another rule", "must be one of", "must begin with /", `"konya" is not known`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%v lacks %q", err, want)
		}
	}
	is.Equal(strings.Count(err.Error(), "\n"), 4)
}

func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(outlook))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("? {a: b}\n: c\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseDocument("fuzz", data)
		if (d == nil) == (err == nil) {
			t.Fatalf("document %v with error %v", d, err)
		}
	})
}

func TestParseOrderLinks(t *testing.T) {
	is := is.New(t)
	text := []byte(`
service: letters
owner: team
kind: model
model: {name: m, version: "1", max_tokens: 10, idempotent: false}
backend_servers:
  - {name: w1, address: "10.0.0.1:80", failure_domain: north, role: decode}
order_links:
  - {from: south, backend_servers: [w1, w9]}
`)
	_, err := ParseDocumentFor("letters", text, References{FailureDomains: []string{"north"}})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "south"))
	is.True(strings.Contains(err.Error(), "w9"))
	document, err := ParseDocument("letters", bytes.Replace(text, []byte(", w9"), nil, 1))
	is.NoErr(err)
	is.Equal(document.OrderLinks, []OrderLink{{From: "south", BackendServers: []string{"w1"}}})
	is.Equal(document.BackendServers[0].Role, "decode")
}
