package cli

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against plays that are left out or repeated when several run at the same time.
func TestSoakListsEachPlayOnce(t *testing.T) {
	is := is.New(t)
	c := &soakCommand{seed: 7, seeds: 2, plays: 3}
	listed := make(chan soakPlay, 10)
	is.NoErr(c.listPlays(context.Background(), listed))
	close(listed)
	counts := map[soakPlay]int{}
	for play := range listed {
		counts[play]++
	}
	is.Equal(len(counts), 6)
	is.Equal(counts[soakPlay{7, 1}], 1)
	is.Equal(counts[soakPlay{8, 3}], 1)
}

// Guards against a soak that reports success without a run.
func TestSoakRejectsCountsBelowOne(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "daemon")
	is.NoErr(os.WriteFile(program, nil, 0o700))
	for _, flag := range []string{"--plays=0", "--jobs=0", "--fault-kinds=-1"} {
		code, _, errs := run("", "soak", "--program", program, "--logs", t.TempDir(), flag)
		is.True(code != 0)
		is.True(errs != "")
	}
}
