// Command lichentray-proxy is the proxy node: it takes requests from clients and
// forwards them to the endpoints in the registry.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"lichentray/internal/api"
	"lichentray/internal/daemon"
	"lichentray/internal/metrics"
	"lichentray/internal/proxy"
	"lichentray/internal/settings"
)

func main() { os.Exit(daemon.Main("lichentray-proxy", "the proxy node", run)) }

const (
	// memoryShare is the part of the machine's memory that the Go runtime may use.
	memoryShare = 0.7
	// gcPercent is by how much the heap grows before a collection begins.
	gcPercent = 75
	// maxReadinessBody bounds the body of a request for the readiness, in bytes.
	maxReadinessBody = 64 << 10
)

// run runs the proxy until sig.Stop is closed or a listener fails. Its goroutines end with
// the process.
func run(_ string, set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	if set.Listen.Frontend == "" || set.Listen.Readiness == "" {
		return errors.New("listen_addresses: frontend or readiness missing, lichentray-proxy serves edge")
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Limits.MemoryMB * memoryShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	metricsRegistry := metrics.NewRegistry()
	p := proxy.New(set, log, metricsRegistry)
	readiness, err := api.Listen(set.Listen.Readiness, metricsRegistry)
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	clients, err := api.Listen(set.Listen.Frontend, metricsRegistry)
	if err != nil {
		return fmt.Errorf("frontend: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- api.NewServer(p.HandleReadiness, maxReadinessBody).Serve(readiness) }()
	frontend := proxy.NewFrontend(p, clients)
	go frontend.Run()
	go p.ListAndWatch(ctx)
	go p.DetectRelay(ctx)
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("listener ended: %w", err)
		case changed := <-sig.SettingsChanged:
			p.SetSeeds(changed.SeedNodes)
		case <-sig.Stop:
			log.Info("stopping")
			frontend.Shutdown(set.Bounds.GracePeriod.Duration())
			return nil
		}
	}
}
