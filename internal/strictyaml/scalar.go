package strictyaml

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Range is the allowed range of a number and its default for a missing field.
type Range[T int | float64 | time.Duration] struct {
	Min, Max T
	Default  T
}

// Text reads a string field.
func (m *Mapping) Text(name string, presence Presence) string {
	node := m.value(name, presence)
	if node == nil {
		return ""
	}
	text, ok := scalar(node)
	if !ok {
		m.AddFinding(name, "must be text")
		return ""
	}
	if text == "" && presence == Required {
		m.AddFinding(name, "is empty")
	}
	return text
}

// Texts reads a field with a list of strings.
func (m *Mapping) Texts(name string, presence Presence) []string {
	var texts []string
	for _, node := range m.sequence(name, presence) {
		text, ok := scalar(node)
		if !ok || text == "" {
			m.reader.add(node, "%s: must be a list of text", name)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// Choice reads a field with one of the allowed values.
func (m *Mapping) Choice(name string, presence Presence, allowed ...string) string {
	text := m.Text(name, presence)
	if text == "" {
		return ""
	}
	for _, word := range allowed {
		if text == word {
			return text
		}
	}
	m.AddFinding(name, "must be one of %q, not %q", allowed, text)
	return ""
}

// Bool reads a boolean field.
func (m *Mapping) Bool(name string, presence Presence) bool {
	node := m.value(name, presence)
	if node == nil {
		return false
	}
	value, ok := node.(*ast.BoolNode)
	if !ok {
		m.AddFinding(name, "must be true or false")
		return false
	}
	return value.Value
}

// Int reads an integer field; unit is used in findings.
func (m *Mapping) Int(name string, presence Presence, unit string, bounds Range[int]) int {
	node := m.value(name, presence)
	if node == nil {
		return bounds.Default
	}
	text, _ := scalar(node)
	value, err := strconv.Atoi(text)
	if _, number := node.(*ast.IntegerNode); !number || err != nil {
		m.AddFinding(name, "must be a whole number of %s without a unit, such as 100, not %s", unit, quoted(node))
		return bounds.Default
	}
	if value < bounds.Min || value > bounds.Max {
		m.AddFinding(name, "must be from %d to %d %s", bounds.Min, bounds.Max, unit)
		return bounds.Default
	}
	return value
}

// Share reads a field with a fraction such as 0.05.
func (m *Mapping) Share(name string, presence Presence, bounds Range[float64]) float64 {
	node := m.value(name, presence)
	if node == nil {
		return bounds.Default
	}
	text, _ := scalar(node)
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !isNumber(node) {
		m.AddFinding(name, "must be a share from %g to %g without a unit, such as 0.05, not %s", bounds.Min, bounds.Max, quoted(node))
		return bounds.Default
	}
	if !(value >= bounds.Min && value <= bounds.Max) {
		m.AddFinding(name, "must be a share from %g to %g, not %g", bounds.Min, bounds.Max, value)
		return bounds.Default
	}
	return value
}

// Duration reads a field with a duration and its unit, such as 1.5s.
func (m *Mapping) Duration(name string, presence Presence, bounds Range[time.Duration]) time.Duration {
	node := m.value(name, presence)
	if node == nil {
		return bounds.Default
	}
	text, _ := scalar(node)
	value, err := time.ParseDuration(text)
	if err != nil || isNumber(node) {
		m.AddFinding(name, "must be a duration with its unit, such as 1.5s or 200ms, not %s", quoted(node))
		return bounds.Default
	}
	if value < bounds.Min || value > bounds.Max {
		m.AddFinding(name, "must be from %s to %s, not %s", bounds.Min, bounds.Max, value)
		return bounds.Default
	}
	return value
}

// Address reads a field with an IP:port. Host names are rejected: processes
// address each other by IP only.
func (m *Mapping) Address(name string, presence Presence) string {
	text := m.Text(name, presence)
	if text == "" {
		return ""
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		m.AddFinding(name, "must be IP:port, such as 10.0.0.1:7480, not %q", text)
		return ""
	}
	return address.String()
}

// Addresses reads a field with a list of IP:port.
func (m *Mapping) Addresses(name string, presence Presence) []string {
	var addresses []string
	for _, node := range m.sequence(name, presence) {
		text, _ := scalar(node)
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			m.reader.add(node, "%s: must be IP:port, such as 10.0.0.1:7480, not %s", name, quoted(node))
			continue
		}
		addresses = append(addresses, address.String())
	}
	return addresses
}

// scalar returns the source text of a scalar node.
func scalar(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

func isNumber(node ast.Node) bool {
	switch node.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		return true
	}
	return false
}

// quoted renders a node for a finding, truncated if it is long.
func quoted(node ast.Node) string {
	text, ok := scalar(node)
	if !ok {
		return "a list or mapping"
	}
	const longest = 40
	if len(text) > longest {
		text = text[:longest] + "..."
	}
	return strconv.Quote(text)
}
