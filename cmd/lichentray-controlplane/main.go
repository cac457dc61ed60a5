// Command lichentray-controlplane is the control-plane node: it holds the registry and
// serves the operator, the endpoints, the applications and the proxy nodes.
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
)

func main() { os.Exit(daemon.Main("lichentray-controlplane", "the control-plane node", run)) }

// run runs the node as a relay or as a member of the core, and changes between the two as the core
// says.
func run(path string, set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	if set.Listen.Control == "" {
		return errors.New("listen_addresses.control_plane: missing, lichentray-controlplane serves control")
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
			log.Info("no machine of the core has a disk, joining it")
		case errors.Is(err, errCoreHasDisks):
			log.Info("machines of the core have disks, forwarding calls to them")
		default:
			return err
		}
		set = settingsForNextRole(path, set)
	}
}

// settingsForNextRole returns the settings of a node that changes between relay and core. It knows
// the newest seeds, and it begins no group: the group that its process may have begun goes on
// without it.
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

// startsAsRelay reports whether the node stores nothing. A node without a disk
// begins as a relay, and joins the core if the core node that it follows reports that no core
// machine has a disk. At the first start of a deployment the seeds are the core; those without a disk
// become relays once nodes that have one hold the votes.
func startsAsRelay(set *settings.Settings) bool {
	isFirstCore := set.Bootstrap && slices.Contains(set.SeedNodes, set.Listen.Control)
	return set.DataDirectory == "" && !set.QuorumMember && !isFirstCore
}

// runRelay runs a relay until sig.Stop is closed or no machine of the core has a disk.
func runRelay(set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(relayGCPercent)
	return relay.Run(set, log, sig)
}

// The memory limit of the Go runtime is memoryShare of the limit in the settings, as the
// runtime is not the only user of the process's memory. A collection begins when the heap
// has grown by the given percentage.
const (
	memoryShare    = 0.7
	coreGCPercent  = 75
	relayGCPercent = 50
)

// Bounds on the body of a request, in bytes.
const (
	maxCallBody      = 16 << 20
	maxDirectoryBody = 64 << 10
)

// errCoreHasDisks is returned by runCore on a machine without a disk when the core keeps its log on
// disks. The node should be a relay then.
var errCoreHasDisks = errors.New("the core keeps its log on disks")

// runCore runs a member of the core until sig.Stop is closed, a listener fails or the core does not
// need this node.
func runCore(set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Limits.MemoryMB * memoryShare * (1 << 20)))
	debug.SetGCPercent(coreGCPercent)
	if err := config.CompileSchema(); err != nil {
		return err
	}
	metricsRegistry := metrics.NewRegistry()
	node, err := controlplane.Start(set, log, metricsRegistry)
	if err != nil {
		return err
	}
	defer node.Close()
	servers, err := serveNode(set, node, metricsRegistry)
	if err != nil {
		return err
	}
	// The two steps of a shutdown take two thirds of the grace period at most; the rest is reserve
	// on a slow machine.
	step := set.Bounds.GracePeriod.Duration() / 3
	for {
		select {
		case err := <-servers.failed:
			return fmt.Errorf("listener ended: %w", err)
		case changed := <-sig.SettingsChanged:
			node.SetSeeds(changed.SeedNodes)
		case <-node.JoinRejected():
			servers.shutdown(step)
			return errCoreHasDisks
		case <-sig.Stop:
			log.Info("stopping")
			node.PrepareShutdown(step)
			api.Shutdown(servers.calls, step)
			return nil
		}
	}
}

// coreServers are the HTTP servers of a core node.
type coreServers struct {
	calls *fasthttp.Server
	// directory is nil where the node is no directory.
	directory *fasthttp.Server
	// failed yields the error of a server that has ended.
	failed chan error
}

// serveNode begins to serve all that the settings name.
func serveNode(set *settings.Settings, node *controlplane.Node, metricsRegistry *metrics.Registry) (servers coreServers, err error) {
	servers.failed = make(chan error, 2)
	if servers.calls, err = serveCalls(set, node, metricsRegistry, servers.failed); err != nil {
		return servers, err
	}
	if set.Listen.Directory != "" {
		servers.directory, err = serveDirectory(set, node, metricsRegistry, servers.failed)
	}
	return servers, err
}

// shutdown answers what was read, within the given time, and gives the addresses back.
func (s coreServers) shutdown(wait time.Duration) {
	var stopping sync.WaitGroup
	defer stopping.Wait()
	stopping.Go(func() { api.Shutdown(s.calls, wait) })
	if s.directory != nil {
		stopping.Go(func() { api.Shutdown(s.directory, wait) })
	}
}

// statusNode adapts the node to the API, which prints the state without knowing its type.
type statusNode struct{ *controlplane.Node }

// Status returns the state of the node.
func (n statusNode) Status() any { return n.Node.Status() }

// serveCalls begins to serve the API of the control plane.
func serveCalls(set *settings.Settings, node *controlplane.Node, metricsRegistry *metrics.Registry, failed chan<- error) (*fasthttp.Server, error) {
	handler := api.NewHandler(statusNode{node}, metricsRegistry, set.Bounds.HistoryRetention.Duration())
	listener, err := api.Listen(set.BindAddr(set.Listen.Control), metricsRegistry)
	if err != nil {
		return nil, fmt.Errorf("control_plane: %w", err)
	}
	server := api.NewServer(handler.Serve, maxCallBody)
	serve(server, listener, failed)
	return server, nil
}

// serveDirectory begins to serve the directory, from the node's replica of the registry. On SIGTERM
// its server ends with the process.
func serveDirectory(set *settings.Settings, node *controlplane.Node, metricsRegistry *metrics.Registry, failed chan<- error) (*fasthttp.Server, error) {
	listener, err := api.Listen(set.Listen.Directory, metricsRegistry)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	server := api.NewServer(api.NewDirectory(node, metricsRegistry).Serve, maxDirectoryBody)
	serve(server, listener, failed)
	return server, nil
}

// serve runs a server until the process ends, and reports its failure.
func serve(server *fasthttp.Server, listener net.Listener, failed chan<- error) {
	go func() { failed <- server.Serve(listener) }()
}
