// Command lichentray-proxy is the proxy node: it takes requests from clients and sends
// them to the endpoints that the registry knows.
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

func run(path string, set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	if set.Listen.Frontend == "" || set.Listen.Readiness == "" {
		return errors.New("listen_addresses: frontend or readiness missing, lichentray-proxy serves edge")
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Limits.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(75)
	board := metrics.NewRegistry()
	p := proxy.New(set, log, board)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	readiness, err := api.Listen(set.Listen.Readiness, board)
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	frontend, err := api.Listen(set.Listen.Frontend, board)
	if err != nil {
		return fmt.Errorf("frontend: %w", err)
	}
	failed := make(chan error, 1)
	go func() { failed <- api.NewServer(p.HandleReadiness, 64<<10).Serve(readiness) }()
	front := proxy.NewFrontend(p, frontend)
	go front.Run()
	go p.ListAndWatch(ctx)
	go p.DetectRelay(ctx)
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("listener ended: %w", err)
		case s := <-sig.SettingsChanged:
			p.SetSeeds(s.SeedNodes)
		case <-sig.Stop:
			log.Info("stopping")
			front.Shutdown(set.Bounds.GracePeriod.Duration())
			return nil
		}
	}
}
