package configuration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

const (
	// organisationShards is the number of stored objects among which
	// organisations are distributed by a hash of the name; see
	// docs/design/010-organisations.md for the reasons. Changing it requires a
	// migration, because a name must stay in its shard.
	organisationShards = 256
	// shardHistory is the maximum number of entries in a shard's history. With
	// audit.MaxEntries (256) the history would be larger than the
	// organisations.
	shardHistory = 32

	maxOrganisationTokens   = 8
	maxOrganisationServices = 64
)

// Organisation is a client organisation and the services that it may use. It is
// identified by its tokens, of which there are several during a rotation.
type Organisation struct {
	Name        string               `json:"name"`
	TokenSHA256 []settings.TokenHash `json:"token_sha256"`
	Services    []string             `json:"services,omitempty"` // nil: all services
	// Version is the version of the organisation's last change. The stored object
	// written by that change has zero here, because its version was not known
	// yet; withVersions replaces zero by the object's version.
	Version store.Version `json:"version,omitempty"`
}

// noToken is the token hash of a request without a token.
var noToken = settings.HashToken("")

// ErrOrganisation means that an organisation is invalid, or that its name or a
// token belongs to another one.
var ErrOrganisation = errors.New("configuration: organisation")

// MayUse reports whether the organisation may use a service.
func (o *Organisation) MayUse(service string) bool {
	return o.Services == nil || slices.Contains(o.Services, service)
}

// Check validates the organisation. Its errors are marked ErrOrganisation.
func (o *Organisation) Check() error {
	switch {
	case !contract.ValidName(o.Name):
		return invalidOrganisation("name %q must be lower-case letters, digits, - and _, beginning with a letter", o.Name)
	case len(o.TokenSHA256) == 0 || len(o.TokenSHA256) > maxOrganisationTokens:
		return invalidOrganisation("%s has %d tokens, must have 1 to %d", o.Name, len(o.TokenSHA256), maxOrganisationTokens)
	case o.Services != nil && len(o.Services) == 0:
		return invalidOrganisation("%s has an empty list of services; without a list it may use all services", o.Name)
	case len(o.Services) > maxOrganisationServices:
		return invalidOrganisation("%s names %d services, at most %d", o.Name, len(o.Services), maxOrganisationServices)
	}
	for i, token := range o.TokenSHA256 {
		if token == noToken {
			return invalidOrganisation("%s has the hash of an empty token", o.Name)
		}
		if slices.Contains(o.TokenSHA256[:i], token) {
			return invalidOrganisation("%s has token %s twice", o.Name, token)
		}
	}
	for i, service := range o.Services {
		if !contract.ValidName(service) || slices.Contains(o.Services[:i], service) {
			return invalidOrganisation("%s: service %q is no name or given twice", o.Name, service)
		}
	}
	return nil
}

func invalidOrganisation(format string, arguments ...any) error {
	return errors.Mark(errors.Newf("organisation "+format, arguments...), ErrOrganisation)
}

// shardOf returns the id of the shard that an organisation belongs to.
func shardOf(name string) string {
	return fmt.Sprintf("%02x", xxhash.Sum64String(name)%organisationShards)
}

// OrganisationsName returns the stored name of the shard that an organisation
// belongs to.
func OrganisationsName(organisation string) string {
	return organisationsPrefix + shardOf(organisation)
}

// checkShard validates the organisations of a shard and their order.
func checkShard(shard string, organisations []Organisation) error {
	for i := range organisations {
		o := &organisations[i]
		if err := o.Check(); err != nil {
			return err
		}
		if shardOf(o.Name) != shard {
			return invalidOrganisation("%s does not belong to shard %s", o.Name, shard)
		}
		if i > 0 && organisations[i-1].Name >= o.Name {
			return invalidOrganisation("%s is out of order in shard %s", o.Name, shard)
		}
	}
	return nil
}

// withVersions returns a copy of the organisations of an object. Those without
// a version were written by the object's last change and get the object's.
func withVersions(organisations []Organisation, version store.Version) []Organisation {
	all := slices.Clone(organisations)
	for i := range all {
		if all[i].Version == 0 {
			all[i].Version = version
		}
	}
	return all
}

// search returns the position of a name among organisations ordered by name, or
// the position at which to insert it.
func search(organisations []Organisation, name string) (int, bool) {
	return slices.BinarySearchFunc(organisations, name, func(o Organisation, name string) int { return cmp.Compare(o.Name, name) })
}

// digestText returns the form of the organisation that is hashed into the
// digest of a change.
func (o *Organisation) digestText() string {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // unreachable: the fields are strings, hashes and numbers
	}
	return string(text)
}
