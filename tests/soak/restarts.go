package soak

import (
	"context"
	"fmt"
	"math/rand"
	"syscall"
	"time"
)

// terminationBound is the longest time a process may take to exit after SIGTERM. It is far above
// grace_period_s of the settings, to allow for a busy machine.
const terminationBound = 30 * time.Second

// maxSeriesPause is the longest pause between two steps of a rolling restart or a SIGHUP series.
const maxSeriesPause = 400 * time.Millisecond

// terminate sends SIGTERM to a node's process if it runs, and waits for it to exit.
func (k *cluster) terminate(n node) error {
	k.mu.Lock()
	p := k.running[n.name]
	if p != nil {
		p.isExitExpected = true
		delete(k.running, n.name)
		k.terminating[n.name] = p
		k.outages[n.name] = append(k.outages[n.name], outage{from: time.Now(), isPlanned: true})
		_ = p.command.Process.Signal(syscall.SIGTERM) // the process may have exited already
	}
	k.mu.Unlock()
	if p == nil {
		return nil
	}
	defer k.removeTerminating(n)
	select {
	case <-p.exited:
		return nil
	case <-time.After(terminationBound):
		_ = p.command.Process.Kill()
		<-p.exited
		return fmt.Errorf("%s did not exit within %v after SIGTERM", n.name, terminationBound)
	}
}

func (k *cluster) removeTerminating(n node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.terminating, n.name)
}

// rollingRestart terminates a random selection of nodes with SIGTERM, one after the other, and starts
// each again at once.
func (f *injector) rollingRestart(ctx context.Context, random *rand.Rand, nodes []node) {
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, n := range nodes[:1+random.Intn(len(nodes))] {
		if ctx.Err() != nil {
			return
		}
		f.restart(n)
		pause(ctx, time.Duration(random.Int63n(int64(maxSeriesPause))))
	}
}

// restart terminates a node with SIGTERM and starts it again.
func (f *injector) restart(n node) {
	if !f.claim(n) {
		return
	}
	defer f.release(n)
	if err := f.cluster.terminate(n); err != nil {
		f.cluster.checks.fail("%v", err)
	}
	f.start(n)
}

func (f *injector) restartProxies(ctx context.Context, random *rand.Rand, _ time.Duration) {
	f.rollingRestart(ctx, random, append([]node(nil), proxyNodes...))
}

func (f *injector) restartControlPlane(ctx context.Context, random *rand.Rand, _ time.Duration) {
	f.rollingRestart(ctx, random, controlNodes())
}

func (f *injector) restartAll(ctx context.Context, random *rand.Rand, _ time.Duration) {
	f.rollingRestart(ctx, random, allNodes())
}

// terminatePaused pauses a node, sends it SIGTERM, and resumes it after a delay.
func (f *injector) terminatePaused(_ context.Context, random *rand.Rand, length time.Duration) {
	n := randomNode(random, allNodes())
	if !f.claim(n) {
		return
	}
	defer f.release(n)
	f.cluster.signal(n, syscall.SIGSTOP)
	timer := time.AfterFunc(length, func() { f.cluster.resume(n) })
	defer timer.Stop()
	if err := f.cluster.terminate(n); err != nil {
		f.cluster.checks.fail("%v", err)
	}
	f.start(n)
}

// resume sends SIGCONT to a process that was sent SIGTERM.
func (k *cluster) resume(n node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.terminating[n.name]; p != nil {
		_ = p.command.Process.Signal(syscall.SIGCONT) // the process may have exited already
	}
}

// sendSIGHUPRepeatedly repeatedly sends SIGHUP to random nodes, to up to three at a time.
func (f *injector) sendSIGHUPRepeatedly(ctx context.Context, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		for range 1 + random.Intn(3) {
			if n := randomNode(random, allNodes()); f.cluster.hasStarted(n) {
				f.cluster.signal(n, syscall.SIGHUP)
			}
		}
		pause(ctx, time.Duration(random.Int63n(int64(maxSeriesPause))))
	}
}
