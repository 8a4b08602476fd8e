// Command standin runs stand-ins for external systems: the platform's metadata
// store, a model engine and a plain service.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/papayasail/papayasail/fake/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := standin.App{Out: os.Stdout, Err: os.Stderr}
	code := app.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
