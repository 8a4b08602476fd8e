// Package strictyaml reads YAML field by field and collects all mistakes with
// their positions. With a decoder that stops at the first error, an owner could
// fix only one mistake per attempt.
package strictyaml

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"

	"github.com/papayasail/papayasail/findings"
)

// Reader reads one file and collects its findings.
type Reader struct {
	file string
	list findings.List
}

// Read parses data, one mapping of at most limit bytes, and returns the mapping.
// The mapping is never nil. After an error that concerns the whole file, it is
// empty and records no further findings, so that callers need no separate error
// path.
func Read(file string, data []byte, limit int) (*Reader, *Mapping) {
	r := &Reader{file: file}
	root, err := r.root(data, limit)
	if err != nil {
		return r, &Mapping{reader: r, unreadable: true}
	}
	return r, r.mapping(root)
}

// Err returns all findings as an error, or nil.
func (r *Reader) Err() error { return r.list.Err() }

// errUnreadable reports that a finding was added to the list.
var errUnreadable = errors.New("strictyaml: unreadable")

func (r *Reader) root(data []byte, limit int) (ast.Node, error) {
	if len(data) > limit {
		return nil, r.unreadable(fmt.Sprintf("is %d bytes long, at most %d are allowed", len(data), limit))
	}
	file, err := parse(data)
	if err != nil {
		return nil, r.syntax(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, r.unreadable("must hold exactly one YAML document")
	}
	return file.Docs[0].Body, nil
}

// parse parses data and turns a panic of the YAML parser into an error. A
// malformed document would otherwise crash the daemon that receives it.
func parse(data []byte) (file *ast.File, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = errors.Newf("cannot be read as YAML: %v", recovered)
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if err := checkShape(tokens); err != nil {
		return nil, err
	}
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

func (r *Reader) unreadable(message string) error {
	r.list.Add(findings.Finding{File: r.file, Line: 1, Column: 1, Message: message})
	return errUnreadable
}

func (r *Reader) syntax(err error) error {
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) || syntax.Token == nil || syntax.Token.Position == nil {
		return r.unreadable(err.Error())
	}
	place := syntax.Token.Position
	r.list.Add(findings.Finding{File: r.file, Line: place.Line, Column: place.Column, Message: syntax.Message})
	return errUnreadable
}

func (r *Reader) add(node ast.Node, format string, arguments ...any) {
	r.list.Add(findings.At(r.file, node, format, arguments...))
}
