package strictyaml

import (
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"
)

// Bounds of a file's structure, far above the needs of any document or settings.
const (
	maxDepth = 32  // nested lists and mappings
	maxKeys  = 128 // keys of one mapping
)

// shape tracks nesting depth and key counts over the tokens of a file.
type shape struct {
	line   int         // current line
	dashes int         // list entries opened on this line
	flow   []flow      // open brackets and braces
	keys   map[int]int // keys of the open block mapping at each column
}

// flow is one open bracket or brace.
type flow struct {
	mapping bool
	entries int
}

// checkShape returns an error at the first token that exceeds the maximum depth
// or the maximum number of keys of its mapping.
//
// It guards against a small document that consists of brackets, dashes or keys
// only. The parser's time and stack grow with the square of the depth and of the
// number of keys, so parsing such a document would occupy a CPU core for minutes.
func checkShape(tokens token.Tokens) error {
	s := shape{keys: map[int]int{}}
	for _, t := range tokens {
		if message := s.checkToken(t); message != "" {
			return &yaml.SyntaxError{Message: message, Token: t}
		}
	}
	return nil
}

func (s *shape) checkToken(t *token.Token) string {
	if t.Position.Line != s.line {
		s.startLine(t)
	}
	tooMany := false
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.flow = append(s.flow, flow{mapping: t.Type == token.MappingStartType})
	case token.SequenceEndType, token.MappingEndType:
		s.flow = s.flow[:max(len(s.flow)-1, 0)]
	case token.CollectEntryType:
		tooMany = s.flowEntry()
	case token.SequenceEntryType:
		s.dashes++
	case token.MappingKeyType:
		s.dashes++
		tooMany = s.blockKey(t)
	case token.MappingValueType:
		tooMany = t.Prev != nil && s.blockKey(t.Prev)
	}
	if tooMany {
		return "has too many keys in one mapping"
	}
	if len(s.flow) > maxDepth || s.dashes > maxDepth || t.Position.IndentLevel > maxDepth {
		return "is nested too deeply"
	}
	return ""
}

// flowEntry counts an entry of a flow collection at its comma and reports whether
// a mapping has too many entries.
func (s *shape) flowEntry() bool {
	if len(s.flow) == 0 {
		return false
	}
	innermost := &s.flow[len(s.flow)-1]
	innermost.entries++
	return innermost.mapping && innermost.entries >= maxKeys
}

// blockKey counts a key of a block mapping and reports whether the mapping has
// too many keys.
func (s *shape) blockKey(key *token.Token) bool {
	if len(s.flow) > 0 {
		return false
	}
	s.keys[key.Position.Column]++
	return s.keys[key.Position.Column] > maxKeys
}

// startLine closes the block mappings that are indented deeper than the new line.
func (s *shape) startLine(first *token.Token) {
	s.line, s.dashes = first.Position.Line, 0
	for column := range s.keys {
		if column > first.Position.Column {
			delete(s.keys, column)
		}
	}
}
