package shortid

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestShortIDs(t *testing.T) {
	is := is.New(t)
	is.Equal(Of("9c41d07be2a35f68"), "9c41d07be2a35f68")
	long := strings.Repeat("a", 60<<10)
	is.True(len(Of(long)) <= MaxBytes)
	is.Equal(Of(Of(long)), Of(long))
	is.True(Of(long) != Of(long+"a"))
	whole := strings.Repeat("a", MaxBytes)
	is.Equal(Of(whole), whole)
}
