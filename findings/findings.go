// Package findings collects mistakes in files with their positions, so that all
// mistakes of a file are reported at once.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Finding is one mistake and its position. Lines and columns count from 1; zero
// means the whole file.
type Finding struct {
	File    string
	Line    int
	Column  int
	Message string
}

// String renders the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// At returns a finding at the start of a YAML node; nil means the whole file.
func At(file string, node ast.Node, format string, arguments ...any) Finding {
	finding := Finding{File: file, Message: fmt.Sprintf(format, arguments...)}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return finding
	}
	position := node.GetToken().Position
	finding.Line, finding.Column = position.Line, position.Column
	return finding
}

// List is a list of findings. It implements error; use Err to get nil for an
// empty list.
type List []Finding

// Add appends a finding.
func (l *List) Add(finding Finding) { *l = append(*l, finding) }

// Sort sorts the findings by position.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// Err returns the sorted list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	l.Sort()
	return l
}

// Error renders one finding per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, finding := range l {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
