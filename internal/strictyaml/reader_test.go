package strictyaml

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const limit = 256 << 10

// Guards against a document of brackets, dashes or keys only, which is within the
// size limit but would occupy a CPU core for minutes if it were parsed.
func TestReadRefusesFilesOfBadShape(t *testing.T) {
	cases := map[string]struct{ unit, want string }{
		"brackets":       {"[", "nested too deeply"},
		"braces":         {"{a: ", "nested too deeply"},
		"dashes":         {"- ", "nested too deeply"},
		"question marks": {"? ", "nested too deeply"},
		"keys":           {"a: b\n", "too many keys"},
		"inner keys":     {" a:\n", "too many keys"},
		"quoted keys":    {"\"a\": b\n", "too many keys"},
		"explicit keys":  {"? a\n: b\n", "too many keys"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reader, _ := Read("f", []byte(strings.Repeat(c.unit, limit/len(c.unit))), limit)
			is.True(reader.Err() != nil)
			is.True(strings.Contains(reader.Err().Error(), c.want))
		})
	}
	is := is.New(t)
	reader, _ := Read("f", []byte("{"+strings.Repeat("a, ", 80_000)+"}"), limit)
	is.True(strings.Contains(reader.Err().Error(), "too many keys"))
}

// Guards against the rejection of long lists: settings list tens of thousands of
// organisations, documents hundreds of backend servers.
func TestReadTakesLongLists(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	text.WriteString("list:\n")
	const items = 3000
	for i := range items {
		fmt.Fprintf(&text, "  - name: n%d\n    address: \"10.0.0.1:%d\"\n", i, i+1)
	}
	reader, root := Read("f", []byte(text.String()), limit)
	list := root.Mappings("list", Required)
	is.Equal(len(list), items)
	is.Equal(list[items-1].Address("address", Required), fmt.Sprintf("10.0.0.1:%d", items))
	is.NoErr(reader.Err())
}
