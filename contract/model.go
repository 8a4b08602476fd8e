package contract

import (
	"slices"
	"strings"
)

// Target returns the model that the service's workers should have loaded, as
// name@version.
func (m *ModelSpec) Target() string { return m.Name + "@" + m.Version }

// Matches reports whether loaded, a name@version, is any version of the model.
func (m *ModelSpec) Matches(loaded string) bool { return strings.HasPrefix(loaded, m.Name+"@") }

// Served returns the name@version that a worker with the given loaded models
// serves: the target if loaded, otherwise another version of the model, which the
// worker still has during a rollout. It returns false if the worker cannot serve
// the model.
func (m *ModelSpec) Served(loaded []string) (string, bool) {
	if slices.Contains(loaded, m.Target()) {
		return m.Target(), true
	}
	if at := slices.IndexFunc(loaded, m.Matches); at >= 0 {
		return loaded[at], true
	}
	return "", false
}
