// Command lichentray-proxy is the proxy node. It accepts requests from clients and forwards them to
// the endpoints in the registry.
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
	"lichentray/overload"
)

func main() { os.Exit(daemon.Main("lichentray-proxy", "the proxy node", run)) }

const (
	// memoryLimitRatio is the fraction of the memory limit in the settings that is the memory limit
	// of the Go runtime.
	memoryLimitRatio = 0.7
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection.
	gcPercent = 75
	// maxReadinessBodyBytes limits the body of a readiness request.
	maxReadinessBodyBytes = 64 << 10
)

// run runs the proxy until sig.Stop is closed or the readiness server fails. It does not wait for
// its goroutines, which end when the process exits.
func run(_ string, set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	if set.Listen.Frontend == "" || set.Listen.Readiness == "" {
		return errors.New("listen_addresses: frontend or readiness missing, both are required by lichentray-proxy")
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(set.Limits.MemoryBytes()) * memoryLimitRatio))
	debug.SetGCPercent(gcPercent)
	metricsRegistry := metrics.NewRegistry()
	p := proxy.New(set, log, metricsRegistry)
	guard := api.NewGuard(overload.Divide(set.Limits.MemoryBytes(), set.Limits.MaxOpenFiles), metricsRegistry)
	readiness, err := guard.Listen(set.Listen.Readiness, api.CallListener(overload.Readiness))
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	clients, err := guard.Listen(set.Listen.Frontend, proxy.FrontendListener)
	if err != nil {
		return fmt.Errorf("frontend: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 1)
	readinessServer := api.NewCallServer(p.HandleReadiness, api.ConstantLimit(maxReadinessBodyBytes))
	go func() { failed <- readinessServer.Serve(readiness) }()
	frontend := proxy.NewFrontend(p, clients)
	go frontend.Run()
	go p.ListAndWatch(ctx)
	go p.DetectRelay(ctx)
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("readiness server stopped: %w", err)
		case changed := <-sig.SettingsChanged:
			p.SetSeeds(changed.SeedNodes)
		case <-sig.Stop:
			log.Info("stopping")
			frontend.Shutdown(set.Bounds.GracePeriod.Duration())
			return nil
		}
	}
}
