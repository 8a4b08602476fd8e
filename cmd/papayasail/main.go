// Command papayasail validates and applies service documents, calls services and
// shows the state of the entry hosts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/papayasail/papayasail/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := cli.App{Out: os.Stdout, Err: os.Stderr, In: os.Stdin}
	code := app.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
