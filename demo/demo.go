// Package demo runs a complete deployment in one process, without settings: it
// starts stand-ins and entry hosts on free loopback ports, exposes them to changes
// and failures, and checks every answer.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
)

// timeout limits the duration of the demo.
const timeout = 30 * time.Second

// Run runs the demo and writes its progress to out. It returns nil only if every
// scene gave the expected result: each answer complete, in order and exactly once,
// except the one that the demo loses on purpose.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := &demonstration{out: out, begin: time.Now()}
	d.logf("starting stand-ins of the platform, %d engines, a plain service, and %d entry hosts", engines, entryHosts)
	site, err := Start(ctx, Options{})
	if err != nil {
		return err
	}
	defer site.Close()
	d.site = site
	if d.client, err = site.Caller(CallerToken); err != nil {
		return err
	}
	defer d.client.Close()
	for _, scene := range scenes {
		d.title(scene.title)
		if err := scene.run(d, ctx); err != nil {
			d.logf("FAILED: %v", err)
			return errors.Wrap(err, scene.title)
		}
	}
	d.summary()
	return nil
}

// scene is one part of the demo.
type scene struct {
	title string
	run   func(*demonstration, context.Context) error
}

var scenes = []scene{
	{"service documents are applied", (*demonstration).applyDocuments},
	{"a narrative streams", (*demonstration).streamNarrative},
	{"exact calls", (*demonstration).exactCalls},
	{"a changed document takes effect everywhere", (*demonstration).changeDocument},
	{"a backend server is drained under load", (*demonstration).drainUnderLoad},
	{"the platform's store is unavailable", (*demonstration).storeOutage},
	{"an entry host is killed in the middle of a stream", (*demonstration).killEntryHost},
	{"an entry host stops gracefully in the middle of a letter", (*demonstration).stopEntryHost},
}

// demonstration is the state of one run.
type demonstration struct {
	out    io.Writer
	begin  time.Time
	site   *Site
	client *caller.Client

	answers int // checked generations
	tokens  int
	resumes int
	calls   int
}

func (d *demonstration) title(title string) { fmt.Fprintf(d.out, "\n== %s\n", title) }

// logf prints a line with the time since the start.
func (d *demonstration) logf(format string, arguments ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, arguments...))
}

func (d *demonstration) summary() {
	d.title("done")
	d.logf("%d generations with %d tokens and %d exact calls: every answer complete, in order, exactly once; %d streams were resumed at another entry host",
		d.answers, d.tokens, d.calls, d.resumes)
}

// verifyResult checks a received generation against the runs of the engines and counts it.
func (d *demonstration) verifyResult(r result) error {
	if err := d.site.checkResult(r); err != nil {
		return errors.Wrapf(err, "%q", r.prompt)
	}
	d.answers++
	d.tokens += r.tokens
	d.resumes += r.resumes
	return nil
}
