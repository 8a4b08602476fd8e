package gateway

import "slices"

// restricted reports whether the request may be served in some regions only.
func (t *task) restricted() bool {
	return slices.ContainsFunc(t.regions, func(regions []string) bool { return regions != nil })
}

// allowedDomains returns the failure domains of the service's servers in which the request
// may be served; nil: all. A domain of unknown region is allowed only to unrestricted
// requests.
func (t *task) allowedDomains() []string {
	if !t.restricted() {
		return nil
	}
	allowed := []string{}
	for _, domain := range t.gateway.options.Fleet.Domains(t.service.Name) {
		if t.allowedIn(t.regionOf(domain)) {
			allowed = append(allowed, domain)
		}
	}
	return allowed
}

func (t *task) allowedIn(region string) bool {
	return !slices.ContainsFunc(t.regions, func(regions []string) bool {
		return regions != nil && !slices.Contains(regions, region)
	})
}

func (t *task) regionOf(domain string) string {
	if t.gateway.options.RegionOf == nil {
		return ""
	}
	return t.gateway.options.RegionOf(domain)
}

// disallowedServers returns the IDs of the service's servers in other failure domains than
// the allowed ones; nil allows all.
func (t *task) disallowedServers() (ids []string) {
	allowed := t.allowedDomains()
	if allowed == nil {
		return nil
	}
	for _, server := range t.gateway.options.Fleet.Usable(t.service.Name) {
		if !slices.Contains(allowed, server.Domain) {
			ids = append(ids, server.ID)
		}
	}
	return ids
}
