package strictyaml

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/papayasail/papayasail/findings"
)

// Presence reports whether a field is required.
type Presence bool

const (
	// Required fields give a finding if they are missing.
	Required Presence = true
	// Optional fields may be missing.
	Optional Presence = false
)

// Mapping is one YAML mapping. Each read method marks its field as known; Close
// reports the fields that are not known.
type Mapping struct {
	reader     *Reader
	start      ast.Node // first key or, if empty, the mapping itself
	fields     map[string]field
	order      []string // field names in source order
	known      []string // field names passed to read methods
	unreadable bool     // a finding for the whole mapping was recorded already
}

type field struct {
	key   ast.Node
	value ast.Node
}

// mapping converts a node to a Mapping. A node that is not a mapping gives a
// finding.
func (r *Reader) mapping(node ast.Node) *Mapping {
	m := &Mapping{reader: r, start: node, fields: map[string]field{}}
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, value := range n.Values {
			m.addField(value)
		}
	case *ast.MappingValueNode:
		m.addField(n)
	default:
		m.unreadable = true
		r.add(node, "must be a mapping of fields to values")
	}
	return m
}

func (m *Mapping) addField(value *ast.MappingValueNode) {
	if len(m.fields) == 0 {
		m.start = value.Key
	}
	name := value.Key.GetToken().Value
	if _, twice := m.fields[name]; twice {
		m.reader.add(value.Key, "field %s is given twice", name)
		return
	}
	m.fields[name] = field{key: value.Key, value: value.Value}
	m.order = append(m.order, name)
}

// Has reports whether the field is present.
func (m *Mapping) Has(name string) bool {
	_, ok := m.fields[name]
	return ok
}

// AddFinding adds a finding at a field's value, or at the mapping's start if the
// field is missing.
func (m *Mapping) AddFinding(name, format string, arguments ...any) {
	if m.unreadable {
		return
	}
	place := m.start
	if f, ok := m.fields[name]; ok {
		place = f.value
		if isNull(f.value) {
			place = f.key
		}
	}
	m.reader.list.Add(findings.At(m.reader.file, place, "%s: %s", name, fmt.Sprintf(format, arguments...)))
}

// ReportUnknownFields adds a finding for each field that is present but was never
// read. The finding lists the allowed names.
func (m *Mapping) ReportUnknownFields() {
	for _, name := range m.order {
		if !slices.Contains(m.known, name) {
			m.reader.add(m.fields[name].key, "unknown field %s; known here: %s", name, strings.Join(m.known, ", "))
		}
	}
}

// value marks a field as known and returns its node, or nil if it is missing, is
// null or uses an anchor, alias or tag.
func (m *Mapping) value(name string, presence Presence) ast.Node {
	m.known = append(m.known, name)
	f, given := m.fields[name]
	if !given {
		if presence == Required {
			m.AddFinding(name, "is missing")
		}
		return nil
	}
	switch f.value.(type) {
	case *ast.NullNode:
		m.AddFinding(name, "has no value")
		return nil
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		m.AddFinding(name, "anchors, aliases and tags are not allowed")
		return nil
	}
	return f.value
}

func isNull(node ast.Node) bool {
	_, null := node.(*ast.NullNode)
	return null
}

// Mapping reads a field with a mapping. The result is never nil: a missing field
// gives an empty mapping, so that the defaults of its fields apply.
func (m *Mapping) Mapping(name string, presence Presence) *Mapping {
	node := m.value(name, presence)
	if node == nil {
		// Only an optional mapping that was omitted reports its missing fields.
		// Otherwise one mistake would be reported several times.
		return &Mapping{reader: m.reader, start: m.start, unreadable: presence == Required || m.Has(name) || m.unreadable}
	}
	return m.reader.mapping(node)
}

// Mappings reads a field with a list of mappings.
func (m *Mapping) Mappings(name string, presence Presence) []*Mapping {
	var mappings []*Mapping
	for _, node := range m.sequence(name, presence) {
		mappings = append(mappings, m.reader.mapping(node))
	}
	return mappings
}

func (m *Mapping) sequence(name string, presence Presence) []ast.Node {
	node := m.value(name, presence)
	if node == nil {
		return nil
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		m.AddFinding(name, "must be a list")
		return nil
	}
	if len(sequence.Values) == 0 && presence == Required {
		m.AddFinding(name, "is empty")
	}
	return sequence.Values
}
