package cli

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/demo"
	"github.com/papayasail/papayasail/settings"
)

func (a *App) trialCommands(parser *kingpin.Application, commands map[string]command) {
	show := parser.Command("demo", "Run a complete site in one process, without settings.")
	commands[show.FullCommand()] = func(ctx context.Context) error { return demo.Run(ctx, a.Out) }
	a.benchCommands(parser, commands)
	hash := parser.Command("hash-token", "Read a token from the standard input and print its hash for settings.")
	commands[hash.FullCommand()] = a.hashToken
}

// hashToken reads the token from the standard input, so that it does not appear in
// process lists or the shell history.
func (a *App) hashToken(context.Context) error {
	line, err := bufio.NewReader(a.In).ReadString('\n')
	token := strings.TrimSpace(line)
	if token == "" {
		return errors.CombineErrors(&usageError{"give the token on the standard input"}, err)
	}
	fmt.Fprintln(a.Out, settings.HashToken(token))
	return nil
}
