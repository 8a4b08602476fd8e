package configuration

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

func organisation(name string, tokens ...string) Organisation {
	o := Organisation{Name: name}
	for _, token := range tokens {
		o.TokenSHA256 = append(o.TokenSHA256, settings.HashToken(token))
	}
	return o
}

func organisationChange(id string, expect store.Version, o Organisation) OrganisationChange {
	return OrganisationChange{Organisation: o, Expect: expect, ChangeID: id, Who: "olga"}
}

// namesOfOneShard returns names that share a shard.
func namesOfOneShard(count int) []string {
	names := []string{"o0"}
	for i := 1; len(names) < count; i++ {
		if name := fmt.Sprintf("o%d", i); shardOf(name) == shardOf(names[0]) {
			names = append(names, name)
		}
	}
	return names
}

// organisationModel is the state machine of organisations changed through one
// host and propagated to others; the oracle has all accepted changes.
type organisationModel struct {
	memory   *store.Memory
	acceptor *Acceptor
	tables   []*Table
	seen     []map[string]store.Version // by table: version last served of each name
	gone     []map[string]bool          // by table: names that it no longer serves
	oracle   map[string]Organisation
	names    []string
	changes  int
	inFlight [][]store.Object // answers in flight
}

const fuzzTokens = 6

func token(t *rapid.T) string {
	return fmt.Sprintf("token %d", rapid.IntRange(0, fuzzTokens-1).Draw(t, "token"))
}

// Guards against hosts that go back to an older version of an organisation, or
// that disagree on the owner of a token.
func TestFuzzOrganisations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := &organisationModel{memory: store.NewMemory(), oracle: map[string]Organisation{}, names: append(namesOfOneShard(3), "x", "y")}
		d.acceptor = NewAcceptor(d.memory, parseTest)
		for range 3 {
			d.tables = append(d.tables, NewTable(parseTest))
			d.seen = append(d.seen, map[string]store.Version{})
			d.gone = append(d.gone, map[string]bool{})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"put": d.put, "remove": d.remove, "list": d.list, "pull": d.pull, "deliver": d.deliver, "": d.check,
		})
		d.settle(rt)
	})
}

// expect draws the expected version of a change, sometimes a wrong one.
func (d *organisationModel) expect(t *rapid.T, name string) (version store.Version, right bool) {
	if rapid.IntRange(0, 4).Draw(t, "wrong") == 0 {
		return d.oracle[name].Version + 1, false
	}
	return d.oracle[name].Version, true
}

func (d *organisationModel) change(t *rapid.T, o Organisation, expect store.Version) OrganisationChange {
	d.changes++
	return organisationChange(fmt.Sprint("c", d.changes), expect, o)
}

func (d *organisationModel) put(t *rapid.T) {
	name := rapid.SampledFrom(d.names).Draw(t, "name")
	o := organisation(name, slices.Compact([]string{"own " + name, token(t)})...)
	expect, right := d.expect(t, name)
	result, err := d.acceptor.PutOrganisation(context.Background(), d.change(t, o, expect))
	if err != nil || (result.Outcome == Accepted) != right {
		t.Fatalf("put %s over %d: %+v, %v", name, expect, result, err)
	}
	if right {
		o.Version = result.Version
		d.oracle[name] = o
	} else if result.Version != d.oracle[name].Version {
		t.Fatalf("put %s returned version %d, current is %d", name, result.Version, d.oracle[name].Version)
	}
}

func (d *organisationModel) remove(t *rapid.T) {
	name := rapid.SampledFrom(d.names).Draw(t, "name")
	expect, right := d.expect(t, name)
	result, err := d.acceptor.RemoveOrganisation(context.Background(), d.change(t, Organisation{Name: name}, expect))
	if expect == 0 {
		if !errors.Is(err, ErrNoExpectedVersion) {
			t.Fatal(err)
		}
		return
	}
	if err != nil || (result.Outcome == Accepted) != right {
		t.Fatalf("remove %s over %d: %+v, %v", name, expect, result, err)
	}
	if right {
		delete(d.oracle, name)
	}
}

func (d *organisationModel) table(t *rapid.T) int {
	return rapid.IntRange(0, len(d.tables)-1).Draw(t, "table")
}

func (d *organisationModel) list(t *rapid.T) {
	objects, revision, err := d.memory.List(context.Background(), Kind)
	if err != nil {
		t.Fatal(err)
	}
	d.inFlight = append(d.inFlight, objects)
	d.tables[d.table(t)].AdoptList(Kind, objects, revision)
}

func (d *organisationModel) pull(t *rapid.T) {
	d.inFlight = append(d.inFlight, d.tables[d.table(t)].Since(0))
}

func (d *organisationModel) deliver(t *rapid.T) {
	if len(d.inFlight) == 0 {
		return // nothing in flight
	}
	d.tables[d.table(t)].Adopt(rapid.SampledFrom(d.inFlight).Draw(t, "answer"))
}

func (d *organisationModel) check(t *rapid.T) {
	for i, table := range d.tables {
		for _, name := range d.names {
			o, ok := table.OrganisationNamed(name)
			had := d.seen[i][name]
			switch {
			case !ok:
				d.gone[i][name] = had != 0
			case o.Version < had || o.Version == had && d.gone[i][name]:
				t.Fatalf("host %d serves %s at %d again after %d", i, name, o.Version, had)
			default:
				d.seen[i][name], d.gone[i][name] = o.Version, false
			}
		}
		if len(table.index.conflicts) > fuzzTokens {
			t.Fatal("conflicts remain for tokens that no longer conflict")
		}
	}
}

// settle makes one host list and the others pull from it, and compares them
// with the oracle.
func (d *organisationModel) settle(t *rapid.T) {
	objects, revision, err := d.memory.List(context.Background(), Kind)
	if err != nil {
		t.Fatal(err)
	}
	d.tables[0].AdoptList(Kind, objects, revision)
	for i, table := range d.tables {
		table.Adopt(d.tables[0].Since(0))
		d.compare(t, i, table)
	}
	d.check(t)
}

func (d *organisationModel) compare(t *rapid.T, host int, table *Table) {
	holders := map[settings.TokenHash]string{}
	for name, o := range d.oracle {
		for _, hash := range o.TokenSHA256 {
			if first, held := holders[hash]; !held || name < first {
				holders[hash] = name
			}
		}
	}
	if len(table.index.byToken) != len(holders) {
		t.Fatalf("host %d has %d tokens, want %d", host, len(table.index.byToken), len(holders))
	}
	for hash, name := range holders {
		if o, ok := table.Organisation(hash); !ok || o.Name != name || o.Version != d.oracle[name].Version {
			t.Fatalf("host %d resolves a token of %s to %v", host, name, o)
		}
	}
	if page := table.Organisations("", len(d.names)); len(page) != len(d.oracle) || !slices.IsSortedFunc(page, byName) {
		t.Fatalf("host %d lists %v", host, page)
	}
}

// Guards against a second write or a wrong outcome of a change whose answer is
// lost.
func TestLostAnswerOfAnOrganisationIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		acceptor := NewAcceptor(memory, parseTest)
		memory.SetFaults(store.Faults{LoseAnswers: 1})
		first := organisationChange("c1", 0, organisation("akarsu", "a"))
		result, err := acceptor.PutOrganisation(ctx, first)
		is.NoErr(err)
		is.Equal(result.Outcome, Accepted)
		again, err := acceptor.PutOrganisation(ctx, first)
		is.NoErr(err)
		is.Equal(again, result)
		_, err = acceptor.PutOrganisation(ctx, organisationChange("c1", 0, organisation("akarsu", "b")))
		is.True(errors.Is(err, ErrChangeIDReused))
		settled, err := acceptor.SettleOrganisation(ctx, "akarsu", "c1")
		is.NoErr(err)
		is.Equal(settled, result)

		late, err := acceptor.SettleOrganisation(ctx, "akarsu", "c2")
		is.NoErr(err)
		is.Equal(late.Outcome, NotAccepted)
		late, err = acceptor.PutOrganisation(ctx, organisationChange("c2", result.Version, organisation("akarsu", "b")))
		is.NoErr(err)
		is.Equal(late.Outcome, NotAccepted)

		trail, err := acceptor.Trail(ctx)
		is.NoErr(err)
		is.Equal(len(trail), 2)
		is.Equal(trail[1].What, audit.WhatOrganisation)
		is.Equal(trail[1].Name, "akarsu")
	})
}

// Guards against lost updates of one organisation, and against conflicts with
// others of its shard.
func TestRacingOperatorsOfOneOrganisation(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	acceptor := NewAcceptor(store.NewMemory(), parseTest)
	names := namesOfOneShard(2)
	first, err := acceptor.PutOrganisation(ctx, organisationChange("c1", 0, organisation(names[0], "a")))
	is.NoErr(err)
	_, err = acceptor.PutOrganisation(ctx, organisationChange("c2", 0, organisation(names[1], "n")))
	is.NoErr(err)
	won, err := acceptor.PutOrganisation(ctx, organisationChange("c3", first.Version, organisation(names[0], "a", "b")))
	is.NoErr(err)
	is.Equal(won.Outcome, Accepted)
	_, err = acceptor.PutOrganisation(ctx, organisationChange("c4", 0, organisation(names[1], "m")))
	is.NoErr(err)
	lost, err := acceptor.PutOrganisation(ctx, organisationChange("c5", first.Version, organisation(names[0], "c")))
	is.NoErr(err)
	is.Equal(lost.Outcome, NotAccepted)
	is.Equal(lost.Version, won.Version)
	is.Equal(lost.Winner.ChangeID, "c3")
}

// Guards against invalid organisations that would lock a client out or admit
// others: they are refused before they are written.
func TestOrganisationsAreCheckedStrictly(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	memory, table := store.NewMemory(), NewTable(parseTest)
	acceptor := NewAcceptor(memory, parseTest)
	acceptor.OnObject = func(object store.Object) { table.Adopt([]store.Object{object}) }
	acceptor.CheckConflict = table.CheckConflict
	_, err := acceptor.PutOrganisation(ctx, organisationChange("c", 0, organisation("akarsu", "held")))
	is.NoErr(err)
	many := organisation("many")
	for i := range maxOrganisationTokens + 1 {
		many.TokenSHA256 = append(many.TokenSHA256, settings.HashToken(fmt.Sprint(i)))
	}
	services := organisation("services", "t")
	services.Services = []string{"a", "a"}
	noServices := organisation("no-services", "t")
	noServices.Services = []string{}
	is.True(!noServices.MayUse("a"))
	for _, bad := range []Organisation{
		organisation("Name", "t"), organisation("", "t"), organisation("a\nb", "t"), organisation("none"), many, services, noServices,
		organisation("twice", "t", "t"), organisation("empty", ""), organisation("clash", "held"),
	} {
		result, err := acceptor.PutOrganisation(ctx, organisationChange("bad", 0, bad))
		is.True(errors.Is(err, ErrOrganisation))
		is.Equal(result.Outcome, NotAccepted)
	}
	is.Equal(len(table.Organisations("", 10)), 1)
}

// Guards against losing the last valid shard to one that is invalid or contains
// an organisation of another shard.
func TestUnreadableShardLeavesTheLastGoodOne(t *testing.T) {
	is := is.New(t)
	table := NewTable(parseTest)
	put := func(version store.Version, o Organisation) []Finding {
		value, err := Envelope{Organisations: []Organisation{o}}.Encode()
		is.NoErr(err)
		_, findings := table.Adopt([]store.Object{{Kind: Kind, Name: OrganisationsName("akarsu"), Version: version, Value: value}})
		return findings
	}
	is.Equal(len(put(1, organisation("akarsu", "a"))), 0)
	is.Equal(len(put(2, organisation("x", "b"))), 1)
	is.Equal(len(put(3, organisation("akarsu"))), 1)
	_, ok := table.Organisation(settings.HashToken("a"))
	is.True(ok)
	_, ok = table.Organisation(settings.HashToken("b"))
	is.True(!ok)
}
