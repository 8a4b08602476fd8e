// Package rapidtest sets the flags of property tests, so that every run of a
// package generates the same cases.
package rapidtest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers its flags
)

// Flags are rapid's flags by name, without the prefix.
type Flags map[string]string

// Main is the body of a TestMain. It sets all flags that are not given on the
// command line, runs the tests and exits.
func Main(m *testing.M, flags Flags) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range flags {
		if name = "rapid." + name; given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
