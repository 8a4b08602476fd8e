package control

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against changes that do not reach every host, with the store available
// or not, and against figures missing from the report.
func TestRunSmall(t *testing.T) {
	is := is.New(t)
	report, err := Run(t.Context(), Options{Hosts: []int{3, 5}, Workers: []int{12}, Settle: time.Second, Steady: time.Second, Changes: 2})
	is.NoErr(err)
	is.Equal(len(report.Sizes), 2)
	for _, size := range report.Sizes {
		is.Equal(size.Healthy.Missing, 0)
		is.Equal(size.StoreGone.Missing, 0)
		is.True(size.BytesPerSecond > 0)
		is.True(size.CallsPerSecond >= 0)
	}
	is.Equal(len(report.AtTarget), len(figures))
	var table bytes.Buffer
	is.NoErr(report.WriteTable(&table))
	if testing.Verbose() {
		_, _ = os.Stdout.Write(table.Bytes())
	}
}

func TestFit(t *testing.T) {
	is := is.New(t)
	base, slope := fit([]Size{{Hosts: 10}, {Hosts: 20}, {Hosts: 40}}, func(s Size) float64 { return 3 + 2*float64(s.Hosts) })
	is.True(base > 2.999 && base < 3.001)
	is.True(slope > 1.999 && slope < 2.001)
}
