package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/operatorclient"
)

// organisationPage is the number of organisations listed per request.
const organisationPage = 1000

// organisationChange has the arguments and flags of put and remove.
type organisationChange struct {
	name     string
	tokens   []string
	services []string
	expect   int64
	change   string
}

func (a *App) organisationCommands(parser *kingpin.Application, commands map[string]command) {
	group := parser.Command("organisation", "Change and list the organisations that may call services.")

	added := &organisationChange{}
	put := group.Command("put", "Put an organisation in force, or replace it.")
	put.Arg("name", "Name of the organisation.").Required().StringVar(&added.name)
	put.Flag("token-sha256", "Hash of a token, as printed by hash-token; may be given several times, as during a token rotation.").Required().StringsVar(&added.tokens)
	put.Flag("service", "Service that the organisation may use; may be given several times; default: all.").StringsVar(&added.services)
	added.addFlags(put)
	commands[put.FullCommand()] = func(ctx context.Context) error { return a.putOrganisation(ctx, added) }

	removed := &organisationChange{}
	remove := group.Command("remove", "Remove an organisation: its tokens are refused everywhere.")
	remove.Arg("name", "Name of the organisation.").Required().StringVar(&removed.name)
	removed.addFlags(remove)
	commands[remove.FullCommand()] = func(ctx context.Context) error { return a.removeOrganisation(ctx, removed) }

	list := group.Command("list", "List the organisations in force, without those in settings files.")
	commands[list.FullCommand()] = a.listOrganisations

	settle := group.Command("settle", "Say whether a change with an unknown outcome was accepted.")
	settled := settle.Arg("name", "Name of the organisation.").Required().String()
	change := settle.Arg("change-id", "Id of the change, as printed by put or remove.").Required().String()
	commands[settle.FullCommand()] = func(ctx context.Context) error { return a.settleOrganisation(ctx, *settled, *change) }
}

func (c *organisationChange) addFlags(command *kingpin.CmdClause) {
	command.Flag("expect-version", "Change only if this is the current version, 0 for a new organisation; default: the version that is current now.").Default("-1").Int64Var(&c.expect)
	command.Flag("change-id", "Id of the change; repeats with the same id are one change.").StringVar(&c.change)
}

// resolve generates a change id if none was given, and returns the expected
// version: the given one, or the current one if none was given.
func (c *organisationChange) resolve(ctx context.Context, a *App) (expect uint64, err error) {
	c.change = changeIDOrNew(c.change)
	if c.expect > noVersion {
		return uint64(c.expect), nil
	}
	found, err := a.organisations(ctx, operator.ListOrganisationsPayload{Name: &c.name, Limit: 1})
	if err != nil || len(found) == 0 {
		return 0, err
	}
	return found[0].Version, nil
}

func (a *App) organisations(ctx context.Context, payload operator.ListOrganisationsPayload) ([]*operator.OrganisationInfo, error) {
	return firstAnswer(ctx, a, func(client *operator.Client, token *string) ([]*operator.OrganisationInfo, error) {
		payload.Token = token
		return client.ListOrganisations(ctx, &payload)
	})
}

func (a *App) putOrganisation(ctx context.Context, c *organisationChange) error {
	expect, err := c.resolve(ctx, a)
	if err != nil {
		return err
	}
	return a.changeOrganisation(ctx, c, func(client *operator.Client, token *string) (*operator.Accepted, error) {
		return client.PutOrganisation(ctx, &operator.PutOrganisationPayload{
			Token: token, Name: c.name, TokenSha256: c.tokens, Services: c.services, ExpectVersion: expect, ChangeID: c.change,
		})
	})
}

func (a *App) removeOrganisation(ctx context.Context, c *organisationChange) error {
	expect, err := c.resolve(ctx, a)
	if err != nil {
		return err
	}
	return a.changeOrganisation(ctx, c, func(client *operator.Client, token *string) (*operator.Accepted, error) {
		return client.RemoveOrganisation(ctx, &operator.RemoveOrganisationPayload{
			Token: token, Name: c.name, ExpectVersion: expect, ChangeID: c.change,
		})
	})
}

func (a *App) changeOrganisation(ctx context.Context, c *organisationChange, request func(*operator.Client, *string) (*operator.Accepted, error)) error {
	answer, err := firstAnswer(ctx, a, request)
	if err != nil && !operatorclient.Answered(err) {
		return &unknownError{fmt.Sprintf("no answer, the change may have been accepted (%v)\nsettle it with: papayasail organisation settle %s %s", err, c.name, c.change)}
	}
	if err != nil {
		return err
	}
	return a.printAccepted("organisation "+c.name, answer)
}

func (a *App) settleOrganisation(ctx context.Context, name, change string) error {
	answer, err := firstAnswer(ctx, a, func(client *operator.Client, token *string) (*operator.Accepted, error) {
		return client.SettleOrganisation(ctx, &operator.SettleOrganisationPayload{Token: token, Name: name, ChangeID: change})
	})
	if err != nil {
		return err
	}
	return a.printAccepted("organisation "+name, answer)
}

func (a *App) listOrganisations(ctx context.Context) error {
	table := a.table()
	defer table.Flush()
	fmt.Fprintln(table, "ORGANISATION\tVERSION\tTOKENS\tSERVICES")
	for after := ""; ; {
		page, err := a.organisations(ctx, operator.ListOrganisationsPayload{After: &after, Limit: organisationPage})
		if err != nil {
			return err
		}
		for _, o := range page {
			services := strings.Join(o.Services, " ")
			if services == "" {
				services = "all"
			}
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", o.Name, o.Version, hashPrefixes(o.TokenSha256), services)
		}
		if len(page) < organisationPage {
			return nil
		}
		after = page[len(page)-1].Name
	}
}

// hashPrefixes renders a prefix of each hash, long enough for comparison.
func hashPrefixes(hashes []string) string {
	const shown = 8
	short := make([]string, len(hashes))
	for i, hash := range hashes {
		short[i] = hash[:min(shown, len(hash))]
	}
	return strings.Join(short, " ")
}
