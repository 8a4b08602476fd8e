package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a demo that omits a scene, or in which an answer is truncated, out of
// order or duplicated.
func TestDemo(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	err := Run(context.Background(), &out)
	if err != nil {
		t.Logf("%s", out.String())
	}
	is.NoErr(err)
	for _, scene := range scenes {
		is.True(strings.Contains(out.String(), "== "+scene.title))
	}
}
