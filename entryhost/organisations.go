package entryhost

import (
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/settings"
)

// organisations looks up organisations in the settings and in the configuration
// in force. It implements relay.Organisations. It does not cache: a removed token
// is refused as soon as the change is in force on this host.
type organisations struct {
	static *settings.Tokens // take precedence if both contain a token
	table  *configuration.Table
}

// Authenticate implements relay.Organisations.
func (o organisations) Authenticate(token, service string) (string, bool) {
	if organisation, ok := o.static.Organisation(token); ok {
		return organisation.Name, organisation.MayUse(service)
	}
	if organisation, ok := o.table.Organisation(settings.HashToken(token)); ok {
		return organisation.Name, organisation.MayUse(service)
	}
	return "", false
}

// isValidToken reports whether a token belongs to an organisation.
func (o organisations) isValidToken(token string) bool {
	name, _ := o.Authenticate(token, "")
	return name != ""
}

// checkConflict returns an error if the settings contain the organisation's name
// or one of its tokens, or if it conflicts with the configuration in force.
func (o organisations) checkConflict(proposed configuration.Organisation) error {
	if o.static.HasOrganisation(proposed.Name) {
		return errors.Mark(errors.Newf("organisation %s stands in this entry host's settings; remove it there first", proposed.Name), configuration.ErrOrganisation)
	}
	for _, token := range proposed.TokenSHA256 {
		if holder, ok := o.static.Holder(token); ok {
			return errors.Mark(errors.Newf("organisation %s: token %.8s is that of %s in this entry host's settings", proposed.Name, token, holder), configuration.ErrOrganisation)
		}
	}
	return o.table.CheckConflict(proposed)
}
