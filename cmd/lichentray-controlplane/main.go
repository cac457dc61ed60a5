// Command lichentray-controlplane is the control-plane node. It stores the registry, or forwards
// calls to nodes that do, and serves operators, endpoints, applications and proxy nodes.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/api"
	"lichentray/internal/controlplane"
	"lichentray/internal/daemon"
	"lichentray/internal/metrics"
	"lichentray/internal/relay"
	"lichentray/internal/settings"
	"lichentray/overload"
)

func main() { os.Exit(daemon.Main("lichentray-controlplane", "the control-plane node", run)) }

// run runs the node as a relay or as a member of the core. The node changes its role when the core
// requires it.
func run(path string, set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	if set.Listen.Control == "" {
		return errors.New("listen_addresses.control_plane: missing, required by lichentray-controlplane")
	}
	for isRelay := startsAsRelay(set); ; isRelay = !isRelay {
		var err error
		if isRelay {
			err = runRelay(set, log, sig)
		} else {
			err = runCore(set, log, sig)
		}
		switch {
		case errors.Is(err, relay.ErrCoreDiskless):
			log.Info("no core machine has a disk; joining the core")
		case errors.Is(err, errCoreHasDisks):
			log.Info("core machines have disks; running as a relay")
		default:
			return err
		}
		set = settingsForNextRole(path, set)
	}
}

// settingsForNextRole returns the settings of a node after a change between relay and core. They
// hold the newest seed nodes of the settings file, if it can be read. Bootstrap is off, because the
// group that this process may have bootstrapped still exists.
func settingsForNextRole(path string, set *settings.Settings) *settings.Settings {
	next := *set
	next.Bootstrap = false
	text, err := os.ReadFile(path)
	if err != nil {
		return &next
	}
	if newest, err := settings.Parse(text); err == nil {
		next.SeedNodes = newest.SeedNodes
	}
	return &next
}

// startsAsRelay reports whether the node starts as a relay, which stores nothing. A node without a
// disk does, unless its settings make it a quorum member. It joins the core if the core node that
// it follows reports that no core machine has a disk. At the first start of a deployment the seed
// nodes are the core; seed nodes without a disk become relays once nodes with a disk have the
// votes.
func startsAsRelay(set *settings.Settings) bool {
	isFirstCore := set.Bootstrap && slices.Contains(set.SeedNodes, set.Listen.Control)
	return set.DataDirectory == "" && !set.QuorumMember && !isFirstCore
}

// runRelay runs a relay until sig.Stop is closed, a listener fails or no core machine has a
// disk.
func runRelay(set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(set.Limits.MemoryBytes()) * memoryLimitRatio))
	debug.SetGCPercent(relayGCPercent)
	return relay.Run(set, log, sig)
}

// Settings of the Go runtime. The memory limit of the runtime is memoryLimitRatio of the limit in
// the settings, because the runtime does not account for all memory of the process. A garbage
// collection starts when the heap has grown by the given percentage.
const (
	memoryLimitRatio = 0.7
	coreGCPercent    = 75
	relayGCPercent   = 50
)

// maxDirectoryBodyBytes limits the body of a look-up.
const maxDirectoryBodyBytes = 64 << 10

// errCoreHasDisks is returned by runCore on a machine without a disk if the core stores its log on
// disks. The node should then run as a relay.
var errCoreHasDisks = errors.New("the core stores its log on disks")

// runCore runs a member of the core until sig.Stop is closed, a listener fails or the core rejects
// this node.
func runCore(set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(set.Limits.MemoryBytes()) * memoryLimitRatio))
	debug.SetGCPercent(coreGCPercent)
	if err := config.CompileSchema(); err != nil {
		return err
	}
	metricsRegistry := metrics.NewRegistry()
	guard := api.NewGuard(overload.Divide(set.Limits.MemoryBytes(), set.Limits.MaxOpenFiles), metricsRegistry)
	node, err := controlplane.Start(set, log, metricsRegistry, guard)
	if err != nil {
		return err
	}
	defer node.Close()
	servers, err := serveNode(set, node, guard, metricsRegistry)
	if err != nil {
		return err
	}
	// The two steps of a shutdown take at most two thirds of the grace period. The rest is a
	// reserve for slow machines.
	stepTimeout := set.Bounds.GracePeriod.Duration() / 3
	for {
		select {
		case err := <-servers.failed:
			return fmt.Errorf("HTTP server stopped: %w", err)
		case changed := <-sig.SettingsChanged:
			node.SetSeeds(changed.SeedNodes)
		case <-node.JoinRejected():
			servers.shutdown(stepTimeout)
			return errCoreHasDisks
		case <-sig.Stop:
			log.Info("stopping")
			node.PrepareShutdown(stepTimeout)
			api.Shutdown(servers.api, stepTimeout)
			return nil
		}
	}
}

// coreServers are the HTTP servers of a core node.
type coreServers struct {
	api *fasthttp.Server
	// directory is nil if the node does not serve the directory.
	directory *fasthttp.Server
	// failed receives the return value of Serve when a server has stopped.
	failed chan error
}

// serveNode starts the HTTP servers for which the settings have an address.
func serveNode(set *settings.Settings, node *controlplane.Node, guard *api.Guard, metricsRegistry *metrics.Registry) (servers coreServers, err error) {
	servers.failed = make(chan error, 2)
	if servers.api, err = serveAPI(set, node, guard, metricsRegistry, servers.failed); err != nil {
		return servers, err
	}
	if set.Listen.Directory != "" {
		servers.directory, err = serveDirectory(set, node, guard, metricsRegistry, servers.failed)
	}
	return servers, err
}

// shutdown stops the servers and closes their listeners. For at most timeout, it waits for the
// requests that they have read.
func (s coreServers) shutdown(timeout time.Duration) {
	var stopping sync.WaitGroup
	defer stopping.Wait()
	stopping.Go(func() { api.Shutdown(s.api, timeout) })
	if s.directory != nil {
		stopping.Go(func() { api.Shutdown(s.directory, timeout) })
	}
}

// statusNode adapts a node to api.Node, whose Status method has the result type any.
type statusNode struct{ *controlplane.Node }

// Status implements api.Node.
func (n statusNode) Status() any { return n.Node.Status() }

// serveAPI starts the server of the control plane's API.
func serveAPI(set *settings.Settings, node *controlplane.Node, guard *api.Guard, metricsRegistry *metrics.Registry, failed chan<- error) (*fasthttp.Server, error) {
	handler := api.NewHandler(statusNode{node}, metricsRegistry, set.Bounds.HistoryRetention.Duration())
	listener, err := guard.Listen(set.BindAddr(set.Listen.Control), api.CallListener(overload.ControlPlane))
	if err != nil {
		return nil, fmt.Errorf("control_plane: %w", err)
	}
	server := api.NewCallServer(handler.Serve, api.MaxBodyBytes)
	serve(server, listener, failed)
	return server, nil
}

// serveDirectory starts the server of the directory, which reads the node's replica of the
// registry. On SIGTERM it is not shut down, but serves until the process exits.
func serveDirectory(set *settings.Settings, node *controlplane.Node, guard *api.Guard, metricsRegistry *metrics.Registry, failed chan<- error) (*fasthttp.Server, error) {
	listener, err := guard.Listen(set.Listen.Directory, api.CallListener(overload.Directory))
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	server := api.NewCallServer(api.NewDirectory(node, metricsRegistry).Serve, api.ConstantLimit(maxDirectoryBodyBytes))
	serve(server, listener, failed)
	return server, nil
}

// serve runs a server in a new goroutine, and sends the return value of its Serve method to failed.
func serve(server *fasthttp.Server, listener net.Listener, failed chan<- error) {
	go func() { failed <- server.Serve(listener) }()
}
