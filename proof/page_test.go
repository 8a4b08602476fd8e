package proof

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	testName     = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`")
	scenarioName = regexp.MustCompile("`scenarios/([a-z_0-9]+)`")
	tableLine    = regexp.MustCompile(`^\| `)
)

// Guards against entries of docs/PROOF.md whose test was renamed or removed: each
// named test, fuzz target and scenario must exist, and each table row names one.
func TestProofPageNamesExistingTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/PROOF.md")
	is.NoErr(err)
	tests := allTests(t)
	for _, line := range strings.Split(string(page), "\n") {
		names := testName.FindAllStringSubmatch(line, -1)
		scenarios := scenarioName.FindAllStringSubmatch(line, -1)
		for _, name := range names {
			if !strings.Contains(tests, "func "+name[1]+"(") {
				t.Errorf("test %s does not exist", name[1])
			}
		}
		for _, name := range scenarios {
			if _, err := os.Stat(filepath.Join("testdata/scenarios", name[1])); err != nil {
				t.Errorf("scenario %s does not exist", name[1])
			}
		}
		header := strings.Contains(line, "---") || strings.Contains(line, "| shown by |") || strings.Contains(line, "| went red |")
		if tableLine.MatchString(line) && !header && len(names)+len(scenarios) == 0 {
			t.Errorf("table row names no test: %s", line)
		}
	}
}

// allTests returns the concatenated source of all test files.
func allTests(t *testing.T) string {
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	is.New(t).NoErr(err)
	return all.String()
}
