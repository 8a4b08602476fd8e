package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/boundedlog"
	"github.com/papayasail/papayasail/platform"
)

const (
	// memoryShare is the Go memory limit as a share of the process's memory limit;
	// the rest is reserved for stacks, kernel buffers of connections and the
	// runtime itself.
	memoryShare = 0.6
	msgReload   = "settings read again; they take effect at the next start"
)

// runPlatform serves on the users' platform until SIGTERM.
func runPlatform() error {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	registry := prometheus.NewRegistry()
	writer := boundedlog.NewWriter(os.Stdout)
	defer writer.Close()
	logger := boundedlog.New(writer, zap.InfoLevel, registry)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go reload(path, logger)
	return platform.Run(ctx, settings, logger, registry)
}

// reload validates the settings file on each SIGHUP and logs the result. The
// settings of the running process do not change.
func reload(path string, logger *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		_, err := platform.LoadSettings(path)
		logger.Info(msgReload, zap.Error(err))
	}
}
