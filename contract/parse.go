package contract

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/papayasail/papayasail/internal/strictyaml"
)

// MaxDocumentBytes is the maximum size of a service document. It keeps the
// document and its audit entries well below the platform's limit for one object.
const MaxDocumentBytes = 256 << 10

// Defaults of optional fields.
const (
	DefaultQueueDeadline      = 5 * time.Second
	DefaultFirstTokenDeadline = 10 * time.Second
	DefaultGapDeadline        = 2 * time.Second
	DefaultTotalDeadline      = 10 * time.Second
	DefaultMaxRetries         = 2
	DefaultRetryInitial       = 50 * time.Millisecond
	DefaultRetryBudgetPercent = 10
	DefaultMaxResetWait       = 2 * time.Second
	DefaultRisk               = 0.05
	DefaultTargetGap          = 50 * time.Millisecond
	DefaultMinWorkers         = 1
	DefaultWeight             = 1
)

const (
	maxDeadline   = time.Hour
	maxTokens     = 10_000_000
	maxRetries    = 10
	maxWeight     = 1_000_000
	maxPriority   = 1_000
	maxNameLength = 63
)

// References are the names to which a document may refer. References whose list of
// names is nil are not checked, for example in "papayasail check" without settings.
type References struct {
	FailureDomains []string
	Organisations  []string
}

// ParseDocument parses and validates a service document. All findings are
// returned together as one findings.List. Optional fields that are missing get
// their defaults. References to names outside the document are not checked; see
// ParseDocumentFor.
func ParseDocument(file string, data []byte) (*Document, error) {
	return ParseDocumentFor(file, data, References{})
}

// ParseDocumentFor is like ParseDocument and also checks references against the
// existing names.
func ParseDocumentFor(file string, data []byte, references References) (*Document, error) {
	reader, root := strictyaml.Read(file, data, MaxDocumentBytes)
	p := documentParser{references: references}
	document := p.document(root)
	if err := reader.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

type documentParser struct {
	references References
}

func (p documentParser) document(m *strictyaml.Mapping) *Document {
	d := &Document{
		Service: parseName(m, "service"),
		Owner:   m.Text("owner", strictyaml.Required),
		Kind:    Kind(m.Choice("kind", strictyaml.Required, string(KindModel), string(KindPlain))),
	}
	d.Model = p.model(m, d.Kind)
	d.BackendServers = p.backendServers(m)
	d.OrderLinks = p.orderLinks(m, d.BackendServers)
	d.Calls = p.calls(m, d.Kind)
	d.Organisations = p.organisations(m)
	d.Deadlines = p.deadlines(m, d.Kind)
	d.Retry = p.retry(m)
	d.Placement = p.placement(m, d.Kind)
	if d.Model != nil && len(d.BackendServers) > 0 && d.Model.MinWorkers > len(d.BackendServers) {
		m.AddFinding("model", "min_workers is %d, but there are only %d backend servers", d.Model.MinWorkers, len(d.BackendServers))
	}
	m.ReportUnknownFields()
	return d
}

func (p documentParser) model(m *strictyaml.Mapping, kind Kind) *ModelSpec {
	if kind != KindModel {
		given := m.Has("model")
		m.Mapping("model", strictyaml.Optional)
		if given && kind == KindPlain {
			m.AddFinding("model", "clashes with kind plain: only kind model has a model")
		}
		return nil
	}
	spec := m.Mapping("model", strictyaml.Required)
	defer spec.ReportUnknownFields()
	return &ModelSpec{
		Name:       spec.Text("name", strictyaml.Required),
		Version:    spec.Text("version", strictyaml.Required),
		MinWorkers: spec.Int("min_workers", strictyaml.Optional, "workers", strictyaml.Range[int]{Max: 10_000, Default: DefaultMinWorkers}),
		MaxTokens:  spec.Int("max_tokens", strictyaml.Required, "tokens", strictyaml.Range[int]{Min: 1, Max: maxTokens}),
		Idempotent: spec.Bool("idempotent", strictyaml.Required),
	}
}

func (p documentParser) backendServers(m *strictyaml.Mapping) []BackendServer {
	var servers []BackendServer
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, item := range m.Mappings("backend_servers", strictyaml.Required) {
		server := BackendServer{
			Name:          parseName(item, "name"),
			Address:       item.Address("address", strictyaml.Required),
			FailureDomain: item.Text("failure_domain", strictyaml.Required),
			ChecksOrders:  item.Bool("checks_orders", strictyaml.Optional),
			HonoursFence:  item.Bool("honours_fence", strictyaml.Optional),
			Role:          item.Text("role", strictyaml.Optional),
		}
		item.ReportUnknownFields()
		checkUnique(item, "name", names, server.Name, "another backend server")
		checkUnique(item, "address", addresses, server.Address, "another backend server")
		checkReference(item, "failure_domain", p.references.FailureDomains, server.FailureDomain, "settings")
		servers = append(servers, server)
	}
	return servers
}

func (p documentParser) orderLinks(m *strictyaml.Mapping, servers []BackendServer) []OrderLink {
	var names []string
	for _, server := range servers {
		names = append(names, server.Name)
	}
	var links []OrderLink
	for _, item := range m.Mappings("order_links", strictyaml.Optional) {
		link := OrderLink{
			From:           item.Text("from", strictyaml.Required),
			BackendServers: item.Texts("backend_servers", strictyaml.Required),
		}
		item.ReportUnknownFields()
		checkReference(item, "from", p.references.FailureDomains, link.From, "settings")
		for _, server := range link.BackendServers {
			checkReference(item, "backend_servers", names, server, "document")
		}
		links = append(links, link)
	}
	return links
}

func (p documentParser) calls(m *strictyaml.Mapping, kind Kind) []CallRule {
	if kind == KindModel && m.Has("calls") {
		m.AddFinding("calls", "clashes with kind model: only kind plain has calls")
	}
	var rules []CallRule
	seen := map[string]bool{}
	for _, item := range m.Mappings("calls", strictyaml.Optional) {
		rule := CallRule{
			Method:     item.Choice("method", strictyaml.Required, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"),
			PathPrefix: item.Text("path_prefix", strictyaml.Required),
			Idempotent: item.Bool("idempotent", strictyaml.Required),
		}
		item.ReportUnknownFields()
		if rule.PathPrefix != "" && !strings.HasPrefix(rule.PathPrefix, "/") {
			item.AddFinding("path_prefix", "must begin with /")
		}
		if rule.Method != "" && rule.PathPrefix != "" {
			checkUnique(item, "path_prefix", seen, rule.Method+" "+rule.PathPrefix, "another rule, and the two clash")
		}
		rules = append(rules, rule)
	}
	return rules
}

func (p documentParser) organisations(m *strictyaml.Mapping) []Limit {
	var limits []Limit
	seen := map[string]bool{}
	for _, item := range m.Mappings("organisations", strictyaml.Optional) {
		limit := Limit{
			Organisation:    item.Text("organisation", strictyaml.Required),
			Weight:          item.Int("weight", strictyaml.Optional, "parts", strictyaml.Range[int]{Min: 1, Max: maxWeight, Default: DefaultWeight}),
			MaxInFlight:     item.Int("max_in_flight", strictyaml.Optional, "requests", strictyaml.Range[int]{Max: math.MaxInt32}),
			TokensPerMinute: item.Int("tokens_per_minute", strictyaml.Optional, "tokens", strictyaml.Range[int]{Max: math.MaxInt32}),
			Priority:        item.Int("priority", strictyaml.Optional, "steps", strictyaml.Range[int]{Max: maxPriority}),
		}
		item.ReportUnknownFields()
		checkUnique(item, "organisation", seen, limit.Organisation, "another limit, and the two clash")
		checkReference(item, "organisation", p.references.Organisations, limit.Organisation, "settings")
		limits = append(limits, limit)
	}
	return limits
}

func (p documentParser) deadlines(m *strictyaml.Mapping, kind Kind) Deadlines {
	section := m.Mapping("deadlines", strictyaml.Optional)
	defer section.ReportUnknownFields()
	deadline := func(field string, defaultValue time.Duration) time.Duration {
		return section.Duration(field, strictyaml.Optional,
			strictyaml.Range[time.Duration]{Min: time.Millisecond, Max: maxDeadline, Default: defaultValue})
	}
	d := Deadlines{
		Queue:      deadline("queue", DefaultQueueDeadline),
		FirstToken: deadline("first_token", DefaultFirstTokenDeadline),
		Gap:        deadline("gap", DefaultGapDeadline),
		Total:      deadline("total", DefaultTotalDeadline),
	}
	switch kind {
	case KindPlain:
		rejectUnused(section, kind, "first_token", "gap")
	case KindModel:
		rejectUnused(section, kind, "total")
	}
	return d
}

func (p documentParser) retry(m *strictyaml.Mapping) RetryPolicy {
	section := m.Mapping("retry", strictyaml.Optional)
	defer section.ReportUnknownFields()
	return RetryPolicy{
		MaxRetries:    section.Int("max_retries", strictyaml.Optional, "retries", strictyaml.Range[int]{Max: maxRetries, Default: DefaultMaxRetries}),
		Initial:       section.Duration("initial", strictyaml.Optional, strictyaml.Range[time.Duration]{Min: time.Millisecond, Max: time.Minute, Default: DefaultRetryInitial}),
		BudgetPercent: section.Int("budget_percent", strictyaml.Optional, "percent", strictyaml.Range[int]{Max: 100, Default: DefaultRetryBudgetPercent}),
		MaxResetWait:  section.Duration("max_reset_wait", strictyaml.Optional, strictyaml.Range[time.Duration]{Max: time.Minute, Default: DefaultMaxResetWait}),
	}
}

func (p documentParser) placement(m *strictyaml.Mapping, kind Kind) Placement {
	if kind == KindPlain && m.Has("placement") {
		m.AddFinding("placement", "clashes with kind plain: only generations are placed by their memory")
	}
	section := m.Mapping("placement", strictyaml.Optional)
	defer section.ReportUnknownFields()
	return Placement{
		Risk:      section.Share("risk", strictyaml.Optional, strictyaml.Range[float64]{Max: 1, Default: DefaultRisk}),
		TargetGap: section.Duration("target_gap", strictyaml.Optional, strictyaml.Range[time.Duration]{Min: time.Millisecond, Max: time.Minute, Default: DefaultTargetGap}),
	}
}

// parseName reads a name that is also used in URLs, object names and event IDs.
func parseName(m *strictyaml.Mapping, field string) string {
	text := m.Text(field, strictyaml.Required)
	if text != "" && !ValidName(text) {
		m.AddFinding(field, "must be at most %d lower-case letters, digits, - and _, beginning with a letter, not %q", maxNameLength, text)
		return ""
	}
	return text
}

// ValidName reports whether text is a valid name of a service, backend server, entry
// host or organisation: at most 63 lower-case letters, digits, - and _, beginning
// with a letter.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameLength || text[0] < 'a' || text[0] > 'z' {
		return false
	}
	for _, c := range text {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// checkUnique adds a finding if value was seen before.
func checkUnique(m *strictyaml.Mapping, field string, seen map[string]bool, value, usedBy string) {
	if value == "" {
		return
	}
	if seen[value] {
		m.AddFinding(field, "%q is already used by %s", value, usedBy)
	}
	seen[value] = true
}

// checkReference adds a finding if value is not among names. Nil names are not
// checked.
func checkReference(m *strictyaml.Mapping, field string, names []string, value, source string) {
	if value != "" && names != nil && !slices.Contains(names, value) {
		m.AddFinding(field, "%q is not known in the %s", value, source)
	}
}

// rejectUnused adds a finding for each given field that the kind does not use.
func rejectUnused(m *strictyaml.Mapping, kind Kind, fields ...string) {
	for _, field := range fields {
		if m.Has(field) {
			m.AddFinding(field, "clashes with kind %s, which does not use it", kind)
		}
	}
}
