// Command papayasaild is the entry host daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/entryhost"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/platform"
	"github.com/papayasail/papayasail/settings"
)

func main() {
	app := kingpin.New("papayasaild", "Entry host: serves callers and operators of papayasail.")
	serve := app.Command("serve", "Serve papayasail's own interface.").Default()
	file := serve.Flag("settings", "Settings file, YAML.").Short('s').Required().ExistingFile()
	policy := serve.Flag("policy", "Routing policy.").Default(entryhost.DefaultPolicy).String()
	onPlatform := app.Command("platform", "Serve on the users' platform; the environment names the settings file.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	var err error
	if command == onPlatform.FullCommand() {
		err = runPlatform()
	} else {
		err = run(*file, *policy)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(file, policy string) error {
	loaded, err := settings.Load(file)
	if err != nil {
		return err
	}
	logger, err := newLogger(loaded.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }() // stderr does not always support sync
	host, err := entryhost.New(entryhost.Options{
		Settings: loaded, Policy: policy, Logger: logger,
		Store: platform.NewStore(link.TCP{}, loaded.Platform, float64(loaded.Limits.PlatformCalls)),
	})
	if err != nil {
		return err
	}
	go stopOnSignal(host, loaded)
	return host.Run(context.Background())
}

func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	config.Level = parsed
	return config.Build()
}

// stopOnSignal stops the host gracefully on the first SIGTERM or interrupt, within
// the stop bound of the settings. A second signal cancels the requests in flight.
func stopOnSignal(host *entryhost.Host, loaded *settings.Settings) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), loaded.Limits.StopBound)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	_ = host.Stop(ctx) // cancelled requests are counted in metrics; Run returns next
}
