// Command lichentray-controlplane is the control-plane node: it holds the registry and serves the
// operator, the endpoints, the applications and the proxy nodes.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/api"
	"lichentray/internal/controlplane"
	"lichentray/internal/daemon"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
)

func main() { os.Exit(daemon.Main("lichentray-controlplane", "the control-plane node", run)) }

// statusNode lets the API print the node's state without knowing its shape.
type statusNode struct{ *controlplane.Node }

func (n statusNode) Status() any { return n.Node.Status() }

func run(path string, set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	if set.Listen.Control == "" {
		return errors.New("listen_addresses.control_plane: missing, lichentray-controlplane serves control")
	}
	// Beside a core that has disks, a node without one holds nothing. Whether the
	// core has, a node learns from whom it follows; at the very first start the
	// seeds are the core.
	if set.DataDirectory == "" && !set.QuorumMember && !(set.Bootstrap && slices.Contains(set.SeedNodes, set.Listen.Control)) {
		if err := runRelay(set, log, sig); !errors.Is(err, errCoreDiskless) {
			return err
		}
		log.Info("no machine of the core has a disk, joining it")
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Limits.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(75)
	if err := config.CompileSchema(); err != nil {
		return err
	}
	board := metrics.NewRegistry()
	node, err := controlplane.Start(set, log, board)
	if err != nil {
		return err
	}
	defer node.Close()
	server := api.NewHandler(statusNode{node}, board, set.Bounds.HistoryRetention.Duration())
	srv := api.NewServer(server.Serve, 16<<20)
	ln, err := api.Listen(set.Listen.Control, board)
	if err != nil {
		return fmt.Errorf("control_plane: %w", err)
	}
	failed := make(chan error, 2)
	go func() { failed <- srv.Serve(ln) }()
	if set.Listen.Directory != "" {
		dir, err := api.Listen(set.Listen.Directory, board)
		if err != nil {
			return fmt.Errorf("directory: %w", err)
		}
		go func() { failed <- api.NewServer(api.NewDirectory(node, board).Serve, 64<<10).Serve(dir) }()
	}
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("listener ended: %w", err)
		case s := <-sig.SettingsChanged:
			node.SetSeeds(s.SeedNodes)
		case <-sig.Stop:
			grace := set.Bounds.GracePeriod.Duration()
			log.Info("stopping")
			// Two thirds at the most, the rest is for a slow machine.
			node.PrepareShutdown(grace / 3)
			shutdownServer(srv, grace/3)
			return nil
		}
	}
}

// shutdownServer lets a server finish what it has read, within wait.
func shutdownServer(srv *fasthttp.Server, wait time.Duration) {
	done := make(chan struct{})
	go func() {
		_ = srv.Shutdown() // whatever is left ends with the process
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(wait):
	}
}
