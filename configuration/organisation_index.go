package configuration

import (
	"cmp"
	"slices"

	"github.com/papayasail/papayasail/settings"
)

// directory indexes organisations by token and by name. It is updated one shard
// at a time. Table.mu guards it.
type directory struct {
	byToken map[settings.TokenHash]*Organisation
	// rivals has, for each token of several organisations, all of them ordered
	// by name. The first one is in byToken.
	//
	// Failure: two operators assign one token to two organisations at the same
	// time through two hosts, and neither host sees the other's change before
	// it is accepted. The order by name makes all hosts resolve the token to
	// the same organisation.
	rivals map[settings.TokenHash][]*Organisation
	shards map[string][]Organisation // each ordered by name
}

func newDirectory() directory {
	return directory{
		byToken: map[settings.TokenHash]*Organisation{},
		rivals:  map[settings.TokenHash][]*Organisation{},
		shards:  map[string][]Organisation{},
	}
}

// take replaces a shard and returns how many of its tokens another organisation
// has too. The directory takes ownership of the slice.
func (d *directory) take(shard string, organisations []Organisation) (clashes int) {
	old := d.shards[shard]
	for i := range old {
		for _, token := range old[i].TokenSHA256 {
			d.drop(token, &old[i])
		}
	}
	for i := range organisations {
		for _, token := range organisations[i].TokenSHA256 {
			if d.add(token, &organisations[i]) {
				clashes++
			}
		}
	}
	if len(organisations) == 0 {
		delete(d.shards, shard)
	} else {
		d.shards[shard] = organisations
	}
	return clashes
}

func (d *directory) add(token settings.TokenHash, o *Organisation) (clash bool) {
	holder, held := d.byToken[token]
	if !held {
		d.byToken[token] = o
		return false
	}
	all := d.rivals[token]
	if all == nil {
		all = []*Organisation{holder}
	}
	all = append(all, o)
	slices.SortFunc(all, byName)
	d.rivals[token], d.byToken[token] = all, all[0]
	return true
}

func (d *directory) drop(token settings.TokenHash, o *Organisation) {
	all, clash := d.rivals[token]
	if !clash {
		delete(d.byToken, token)
		return
	}
	all = slices.DeleteFunc(all, func(other *Organisation) bool { return other == o })
	d.rivals[token], d.byToken[token] = all, all[0]
	if len(all) == 1 {
		delete(d.rivals, token)
	}
}

func (d *directory) named(name string) (*Organisation, bool) {
	shard := d.shards[shardOf(name)]
	at, found := place(shard, name)
	if !found {
		return nil, false
	}
	return &shard[at], true
}

// page returns the organisations whose names sort after a name, ordered by
// name, limit at most.
func (d *directory) page(after string, limit int) []*Organisation {
	var all []*Organisation
	for _, shard := range d.shards {
		at, found := place(shard, after)
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

// Clash returns an error marked ErrOrganisation if, on this host, a token of o
// belongs to an organisation in force with another name.
func (t *Table) Clash(o Organisation) error {
	for _, token := range o.TokenSHA256 {
		if holder, ok := t.Organisation(token); ok && holder.Name != o.Name {
			return wrong("%s: token %s is already that of organisation %s", o.Name, token.String()[:8], holder.Name)
		}
	}
	return nil
}
