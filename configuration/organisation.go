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
	// organisationShards is the number of stored objects that organisations
	// are spread over by name; docs/design/010-organisations.md weighs it. A
	// change of it needs a migration: a name's shard must not move.
	organisationShards = 256
	// shardHistory is how many changes a shard's history keeps. With 256 it
	// would outweigh the organisations.
	shardHistory = 32

	maxOrganisationTokens   = 8
	maxOrganisationServices = 64
)

// Organisation may use the services that are named. It is known by tokens, of
// which it has several while one replaces another.
type Organisation struct {
	Name        string               `json:"name"`
	TokenSHA256 []settings.TokenHash `json:"token_sha256"`
	Services    []string             `json:"services,omitempty"` // empty: all services
	// Version is that of the change that made it. It is zero inside the
	// object that the change wrote, whose own version it is.
	Version store.Version `json:"version,omitempty"`
}

// noToken is the hash that a request without a token has.
var noToken = settings.HashToken("")

// ErrOrganisation means that an organisation is not well formed, or that its
// name or a token is another one's.
var ErrOrganisation = errors.New("configuration: organisation")

// MayUse reports whether the organisation may use a service.
func (o *Organisation) MayUse(service string) bool {
	return len(o.Services) == 0 || slices.Contains(o.Services, service)
}

// Check returns what is wrong with the organisation; it is ErrOrganisation.
func (o *Organisation) Check() error {
	switch {
	case !contract.ValidName(o.Name):
		return wrong("name %q must be lower-case letters, digits, - and _, beginning with a letter", o.Name)
	case len(o.TokenSHA256) == 0 || len(o.TokenSHA256) > maxOrganisationTokens:
		return wrong("%s has %d tokens, must have 1 to %d", o.Name, len(o.TokenSHA256), maxOrganisationTokens)
	case len(o.Services) > maxOrganisationServices:
		return wrong("%s names %d services, at most %d", o.Name, len(o.Services), maxOrganisationServices)
	}
	for i, token := range o.TokenSHA256 {
		if token == noToken {
			return wrong("%s has the hash of an empty token", o.Name)
		}
		if slices.Contains(o.TokenSHA256[:i], token) {
			return wrong("%s has token %s twice", o.Name, token)
		}
	}
	for i, service := range o.Services {
		if !contract.ValidName(service) || slices.Contains(o.Services[:i], service) {
			return wrong("%s: service %q is no name or given twice", o.Name, service)
		}
	}
	return nil
}

func wrong(format string, arguments ...any) error {
	return errors.Mark(errors.Newf("organisation "+format, arguments...), ErrOrganisation)
}

// shardOf is the shard that holds an organisation.
func shardOf(name string) string {
	return fmt.Sprintf("%02x", xxhash.Sum64String(name)%organisationShards)
}

// OrganisationsName is the stored name of the shard that holds an organisation.
func OrganisationsName(organisation string) string {
	return organisationsPrefix + shardOf(organisation)
}

// checkShard checks what a shard puts in force.
func checkShard(shard string, organisations []Organisation) error {
	for i := range organisations {
		o := &organisations[i]
		if err := o.Check(); err != nil {
			return err
		}
		if shardOf(o.Name) != shard {
			return wrong("%s does not belong to shard %s", o.Name, shard)
		}
		if i > 0 && organisations[i-1].Name >= o.Name {
			return wrong("%s is out of order in shard %s", o.Name, shard)
		}
	}
	return nil
}

// stamped returns the organisations of an object of this version, each with
// the version that made it.
func stamped(organisations []Organisation, version store.Version) []Organisation {
	all := slices.Clone(organisations)
	for i := range all {
		if all[i].Version == 0 {
			all[i].Version = version
		}
	}
	return all
}

// place finds a name among ordered organisations.
func place(organisations []Organisation, name string) (int, bool) {
	return slices.BinarySearchFunc(organisations, name, func(o Organisation, name string) int { return cmp.Compare(o.Name, name) })
}

// text stands for the organisation in the digest of a change.
func (o *Organisation) text() string {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return string(text)
}
