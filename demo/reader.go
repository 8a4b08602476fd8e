package demo

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/fake/engine"
)

// result is one generation as received by its caller.
type result struct {
	prompt     string
	generation string // id of the generation that every token belongs to
	tokens     int
	resumes    int
	lastHost   string
	err        error
}

// read reads a generation to its end and checks that each token is the next one of
// the same generation. It calls onToken, unless nil, after each token.
func read(ctx context.Context, client *caller.Client, service string, request caller.Request, onToken func(*caller.Stream, caller.Token)) result {
	r := result{prompt: request.Prompt}
	stream, err := client.Generate(ctx, service, request)
	if err != nil {
		r.err = err
		return r
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err == io.EOF {
			break
		}
		if err == nil {
			err = r.checkToken(token)
		}
		if err != nil {
			r.err = err
			return r
		}
		if onToken != nil {
			onToken(stream, token)
		}
	}
	r.resumes, r.lastHost = stream.Resumes(), stream.Host()
	if end := stream.End(); end.Tokens != request.StopAfter || r.tokens != request.StopAfter {
		r.err = errors.Newf("received %d tokens instead of %d", r.tokens, request.StopAfter)
	}
	return r
}

// checkToken checks one token. Its text contains the generation id and the index, so that
// tokens of two generations cannot pass as one answer.
func (r *result) checkToken(token caller.Token) error {
	if r.tokens == 0 {
		r.generation, _, _ = strings.Cut(token.Text, ".")
	}
	if want := engine.TokenText(r.generation, r.tokens); token.Text != want {
		return errors.Newf("token %d is %q instead of %q", r.tokens, token.Text, want)
	}
	r.tokens++
	return nil
}

// checkResult checks against the engines' records that the tokens received belong to the
// caller's own generation and that it ran exactly once.
func (s *Site) checkResult(r result) error {
	if r.err != nil {
		return r.err
	}
	runs := 0
	for _, e := range s.Engines {
		for _, run := range e.Runs() {
			if run.Prompt != r.prompt {
				continue
			}
			runs++
			if run.GenerationID != r.generation || run.Tokens != r.tokens {
				return errors.Newf("%s ran generation %s with %d tokens, but the caller received %s with %d", e.Name, run.GenerationID, run.Tokens, r.generation, r.tokens)
			}
		}
	}
	if runs != 1 {
		return errors.Newf("%q ran %d times", r.prompt, runs)
	}
	return nil
}
