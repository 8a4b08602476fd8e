package configuration

import (
	"cmp"
	"slices"

	"github.com/papayasail/papayasail/settings"
)

// organisationIndex indexes organisations by token and by name. It is updated
// one shard at a time. Table.mu guards it.
type organisationIndex struct {
	byToken map[settings.TokenHash]*Organisation
	// conflicts has, for each token of several organisations, all of them
	// ordered by name. The first one is in byToken.
	//
	// Failure: two operators assign one token to two organisations at the same
	// time through two hosts, and neither host sees the other's change before
	// it is accepted. The order by name makes all hosts resolve the token to
	// the same organisation.
	conflicts map[settings.TokenHash][]*Organisation
	shards    map[string][]Organisation // each ordered by name
}

func newOrganisationIndex() organisationIndex {
	return organisationIndex{
		byToken:   map[settings.TokenHash]*Organisation{},
		conflicts: map[settings.TokenHash][]*Organisation{},
		shards:    map[string][]Organisation{},
	}
}

// replaceShard replaces a shard and returns how many of its tokens another
// organisation has too. The index takes ownership of the slice.
func (x *organisationIndex) replaceShard(shard string, organisations []Organisation) (clashes int) {
	old := x.shards[shard]
	for i := range old {
		for _, token := range old[i].TokenSHA256 {
			x.removeToken(token, &old[i])
		}
	}
	for i := range organisations {
		for _, token := range organisations[i].TokenSHA256 {
			if x.addToken(token, &organisations[i]) {
				clashes++
			}
		}
	}
	if len(organisations) == 0 {
		delete(x.shards, shard)
	} else {
		x.shards[shard] = organisations
	}
	return clashes
}

func (x *organisationIndex) addToken(token settings.TokenHash, o *Organisation) (clash bool) {
	holder, held := x.byToken[token]
	if !held {
		x.byToken[token] = o
		return false
	}
	all := x.conflicts[token]
	if all == nil {
		all = []*Organisation{holder}
	}
	all = append(all, o)
	slices.SortFunc(all, byName)
	x.conflicts[token], x.byToken[token] = all, all[0]
	return true
}

func (x *organisationIndex) removeToken(token settings.TokenHash, o *Organisation) {
	all, clash := x.conflicts[token]
	if !clash {
		delete(x.byToken, token)
		return
	}
	all = slices.DeleteFunc(all, func(other *Organisation) bool { return other == o })
	x.conflicts[token], x.byToken[token] = all, all[0]
	if len(all) == 1 {
		delete(x.conflicts, token)
	}
}

func (x *organisationIndex) find(name string) (*Organisation, bool) {
	shard := x.shards[shardOf(name)]
	at, found := search(shard, name)
	if !found {
		return nil, false
	}
	return &shard[at], true
}

// page returns the organisations whose names sort after a name, ordered by
// name, limit at most.
func (x *organisationIndex) page(after string, limit int) []*Organisation {
	var all []*Organisation
	for _, shard := range x.shards {
		at, found := search(shard, after)
		if found {
			at++
		}
		for i := range shard[at:] {
			all = append(all, &shard[at+i])
		}
	}
	slices.SortFunc(all, byName)
	return slices.Clone(all[:min(limit, len(all))])
}

func byName(a, b *Organisation) int { return cmp.Compare(a.Name, b.Name) }

// CheckConflict returns an error marked ErrOrganisation if, on this host, a token of o
// belongs to an organisation in force with another name.
func (t *Table) CheckConflict(o Organisation) error {
	for _, token := range o.TokenSHA256 {
		if holder, ok := t.Organisation(token); ok && holder.Name != o.Name {
			return invalidOrganisation("%s: token %s is already that of organisation %s", o.Name, token.String()[:8], holder.Name)
		}
	}
	return nil
}
