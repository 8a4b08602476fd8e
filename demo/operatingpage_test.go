package demo

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/settings"
)

func operatingPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.New(t).NoErr(err)
	return string(page)
}

var knownHere = regexp.MustCompile(`known here: (.*)`)

// Guards against a setting or document field that the operations page omits. The names
// come from the parsers' errors about unknown fields.
func TestOperatingPageNamesEverySetting(t *testing.T) {
	is := is.New(t)
	page := operatingPage(t)
	_, settingsErr := settings.Parse("s", []byte("x: 1\nlimits: {x: 1}\ntls: {x: 1}\noperators: [{x: 1}]\norganisations: [{x: 1}]\ndistances: [{x: 1}]\nprevious_event_keys: [{x: 1}]\n"))
	is.True(settingsErr != nil)
	_, documentErr := contract.ParseDocument("d", []byte("x: 1\nkind: model\nmodel: {x: 1}\nbackend_servers: [{x: 1}]\norder_links: [{x: 1}]\ncalls: [{x: 1}]\n"+
		"organisations: [{x: 1}]\ndeadlines: {x: 1}\nretry: {x: 1}\nplacement: {x: 1}\n"))
	is.True(documentErr != nil)
	lists := knownHere.FindAllStringSubmatch(settingsErr.Error()+"\n"+documentErr.Error(), -1)
	is.Equal(len(lists), 7+9)
	for _, list := range lists {
		for _, name := range strings.Split(list[1], ", ") {
			if !regexp.MustCompile(`[.\x60]` + name + `[.\x60]`).MatchString(page) {
				t.Errorf("docs/OPERATIONS.md does not name %s", name)
			}
		}
	}
}

var family = regexp.MustCompile(`(?m)^# TYPE (papayasail_\S+)`)

// Guards against a metric that the operations page omits.
func TestOperatingPageNamesEveryMetric(t *testing.T) {
	is := is.New(t)
	page := operatingPage(t)
	d := startSite(t)
	is.NoErr(d.streamNarrative(context.Background()))
	is.NoErr(d.exactCalls(context.Background()))
	response, err := http.Get("http://" + d.site.Hosts[0].CallerAddress + "/metrics")
	is.NoErr(err)
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	is.NoErr(err)
	families := family.FindAllStringSubmatch(string(metrics), -1)
	is.True(len(families) > 0)
	for _, match := range families {
		if !strings.Contains(page, "`"+match[1]) {
			t.Errorf("docs/OPERATIONS.md does not name %s", match[1])
		}
	}
	t.Logf("%d metrics compared", len(families))
}
