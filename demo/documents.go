package demo

import (
	"fmt"
	"strings"
)

// Names of the demo's services.
const (
	Narratives = "outlook" // model, idempotent
	Letters    = "letters" // model, not idempotent
	Gauges     = "gauges"  // plain
)

// Documents returns the service documents of the site, by service. risk is the
// placement risk of the narratives; a document with another risk is a new version.
func (s *Site) Documents(risk float64) map[string]string {
	return map[string]string{
		Narratives: s.modelDocument(Narratives, "basin", "3", true, risk),
		Letters:    s.modelDocument(Letters, "letter", "1", false, 0.05),
		Gauges:     s.plainDocument(),
	}
}

func (s *Site) modelDocument(service, model, version string, idempotent bool, risk float64) string {
	var servers strings.Builder
	for _, e := range s.Engines {
		servers.WriteString(serverLine(e.Name, e.Address, e.FailureDomain))
	}
	return fmt.Sprintf(`service: %s
owner: demo
kind: model
model: {name: %s, version: "%s", max_tokens: 4096, idempotent: %t}
backend_servers:
%sorganisations:
  - {organisation: cooperative, weight: 4, priority: 1}
deadlines: {queue: 5s, first_token: 5s, gap: 2s}
placement: {risk: %g}
`, service, model, version, idempotent, servers.String(), risk)
}

func (s *Site) plainDocument() string {
	return fmt.Sprintf(`service: %s
owner: demo
kind: plain
backend_servers:
%scalls:
  - {method: POST, path_prefix: /alarms, idempotent: false}
  - {method: POST, path_prefix: /verdicts, idempotent: false}
deadlines: {queue: 2s, total: 5s}
`, Gauges, serverLine(s.Plain.Name, s.Plain.Address, s.Plain.FailureDomain))
}

func serverLine(name, address, failureDomain string) string {
	return fmt.Sprintf("  - {name: %s, address: \"%s\", failure_domain: %s}\n", name, address, failureDomain)
}
