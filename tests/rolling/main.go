// Command rolling performs a rolling update of a running deployment from the programs
// of one version to those of another and checks that no acknowledged state is lost. The
// script run in this directory builds both versions and starts this program.
//
// The deployment is three control-plane nodes that also serve the directory, one proxy
// node and two instances of examples/endpoint. It starts on the first version. The steps
// are:
//
//  1. Each control-plane node in turn is stopped with SIGTERM and restarted on the second
//     version with its data directory. It is down for downTime, in which the others
//     compact their logs, so that the leader may have to send it a snapshot (the number
//     of installed snapshots, taken from the logs, is printed).
//  2. The proxy node is restarted on the second version in the same way, without downTime.
//  3. All nodes are killed with SIGKILL at once and restarted on the second version.
//  4. The endpoints are replaced by those of the second version.
//
// Throughout the run a lock is held and renewed while another client tries to acquire it,
// another lock is handed from holder to holder, numbers are allocated, cells are put, read
// and watched, and requests go through the proxy. Before each step a new configuration is
// put in force and a request that misses its latency target is added to the audit log.
//
// After each step every control-plane node is checked individually, and at the end once
// more without load. These are failures:
//
//   - a process that exits by itself, does not exit after SIGTERM within operationTimeout,
//     or is not up (in touch with the core, at least at its former revision, the same
//     three members with their identities, all voting) within operationTimeout,
//   - a lock that is lost while held, granted to a second holder, or granted with a
//     fencing token that is not above all earlier ones; a number or a group's revision
//     that is assigned twice or is not above those assigned before the call was sent,
//   - a cell that reads older than acknowledged or with a value that nobody put there; a
//     rejected put that took effect,
//   - a watch, followed or resumed at any node from a revision saved before the first
//     step, whose events are not exactly the acknowledged puts in their order,
//   - a configuration that differs from the acknowledged one, a proxy that does not serve
//     the latest one or reverts to an older one, an evacuated zone, an endpoint, a
//     directory entry or an audit record that is missing or duplicated,
//   - an endpoint's response to another request, a non-idempotent request that was
//     executed twice, a ratio of failed requests in a step above maxFailedRatio, and, in
//     the two steps that stop the only proxy, a time without a successful request above
//     operationTimeout.
//
// The whole run takes at most runTimeout and ends only processes that it started.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

const (
	// runTimeout limits a whole run without the builds.
	runTimeout = 8 * time.Minute
	// operationTimeout limits the time until a started process is up, the time until a
	// stopped process exits, and the time until a call gets a conclusive response.
	operationTimeout = 30 * time.Second
	// observationTime is how long the load runs before the first step and after each step.
	observationTime = 3 * time.Second
	// downTime is how long a control-plane node stays down during its update.
	downTime = 10 * time.Second
	// maxFailedRatio limits the ratio of failed requests in a step that leaves the
	// proxy running.
	maxFailedRatio = 0.01
)

// options are the flags of the program.
type options struct {
	first, second string // directories of the executables
	order         string // which control-plane nodes are updated first: "followers" or "leader"
	keep          bool   // do not remove the data and the logs
}

func init() {
	// Pdeathsig kills a child when the thread that started it exits. All processes are
	// started by the main goroutine, so it has to stay on the main thread.
	runtime.LockOSThread()
}

func main() {
	var o options
	flag.StringVar(&o.first, "first", "", "directory of the executables to start with")
	flag.StringVar(&o.second, "second", "", "directory of the executables to update to")
	flag.StringVar(&o.order, "order", "followers", `which control-plane nodes are updated first: "followers" or "leader"`)
	flag.BoolVar(&o.keep, "keep", false, "keep data directories and logs, and print their path")
	flag.Parse()
	if o.first == "" || o.second == "" || flag.NArg() > 0 || o.order != "leader" && o.order != "followers" {
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := run(ctx, o); err != nil {
		fmt.Println("FAILED:", err)
		stop()
		os.Exit(1)
	}
	fmt.Println("PASSED")
}

// run makes all steps and returns the findings as an error.
func run(ctx context.Context, o options) (err error) {
	findings := &findings{}
	c, err := newCluster(o.first, o.second, findings)
	if err != nil {
		return err
	}
	defer func() {
		c.killAll()
		if err != nil {
			c.printLogs()
		}
		if o.keep {
			fmt.Println("data and logs are kept in", c.directory)
			return
		}
		err = errors.Join(err, os.RemoveAll(c.directory))
	}()
	s := newSession(c, findings)
	err = s.run(ctx, o.order == "leader")
	s.printSummary()
	return errors.Join(err, findings.err())
}
