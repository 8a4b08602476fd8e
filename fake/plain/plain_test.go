package plain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/fake/network"
)

const address = "10.0.1.1:8000"

func evidence(err error) backend.Evidence {
	var failed *backend.CallError
	if errors.As(err, &failed) {
		return failed.Evidence
	}
	return 0
}

func TestModesGiveTheirEvidenceAndCountWhatRan(t *testing.T) {
	cases := map[string]struct {
		mode     Mode
		evidence backend.Evidence
		runs     int
	}{
		"answer":      {Answer, 0, 1},
		"refuse":      {Refuse, backend.RefusedNotRun, 0},
		"fail":        {Fail, 0, 1},
		"cross":       {Cross, backend.Mismatch, 1},
		"drop before": {DropBefore, backend.Broken, 0},
		"drop after":  {DropAfter, backend.Broken, 1},
		"late":        {Late, backend.Silent, 1},
		"truncate":    {Truncate, backend.Broken, 1},
		"unframed":    {Unframed, 0, 1},
		"cut":         {UnframedCut, backend.Broken, 1},
		"reset":       {UnframedReset, backend.Broken, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fabric := network.New(network.Options{})
				listener, err := fabric.Host("10.0.1.1").Listen(address)
				is.NoErr(err)
				s := New(Config{})
				go s.Serve(listener)
				defer s.Close()
				s.SetLateDelay(time.Minute)
				s.QueueModes(c.mode)
				client := backend.NewClient(fabric.Host("10.0.0.1"), backend.ClientOptions{})
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				answer, err := client.Call(ctx, address, backend.PlainRequest{
					Method: "POST", Path: PathVerdicts, Body: []byte("dam 7"), Key: "k", RequestID: "r",
				})
				is.Equal(evidence(err), c.evidence)
				if c.mode == Answer {
					is.Equal(string(answer.Body), AnswerText("POST", PathVerdicts, "dam 7"))
				}
				is.Equal(s.RunsByKey()["k"], c.runs)
				is.Equal(s.RunsByRequestID()["r"], c.runs)
			})
		})
	}
}
