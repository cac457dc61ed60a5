package soak

import (
	"context"
	"fmt"
	"math/rand"
	"syscall"
	"time"
)

// terminationBound is how long a process may take to end after SIGTERM. It is far above
// grace_period_s of the settings, as the machine may be busy.
const terminationBound = 30 * time.Second

// seriesPause is the longest pause between two steps of a series.
const seriesPause = 400 * time.Millisecond

// terminate ends a node's process by SIGTERM, if it runs, and waits until it has ended.
func (k *cluster) terminate(n node) error {
	k.mu.Lock()
	p := k.running[n.name]
	if p != nil {
		p.isKilled = true
		delete(k.running, n.name)
		k.ending[n.name] = p
		k.outages[n.name] = append(k.outages[n.name], outage{from: time.Now(), isPlanned: true})
		_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended
	}
	k.mu.Unlock()
	if p == nil {
		return nil
	}
	defer k.forgetEnding(n)
	select {
	case <-p.ended:
		return nil
	case <-time.After(terminationBound):
		_ = p.command.Process.Kill()
		<-p.ended
		return fmt.Errorf("%s did not end within %v after SIGTERM", n.name, terminationBound)
	}
}

func (k *cluster) forgetEnding(n node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.ending, n.name)
}

// restartInTurn ends nodes in order by SIGTERM, one after the other, and starts each again at once.
func (f *injector) restartInTurn(ctx context.Context, random *rand.Rand, nodes []node) {
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, n := range nodes[:1+random.Intn(len(nodes))] {
		if ctx.Err() != nil {
			return
		}
		f.restart(n)
		pause(ctx, time.Duration(random.Int63n(int64(seriesPause))))
	}
}

// restart ends a node by SIGTERM and starts it again.
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
	f.restartInTurn(ctx, random, append([]node(nil), proxyNodes...))
}

func (f *injector) restartControl(ctx context.Context, random *rand.Rand, _ time.Duration) {
	f.restartInTurn(ctx, random, controlNodes())
}

func (f *injector) restartAll(ctx context.Context, random *rand.Rand, _ time.Duration) {
	f.restartInTurn(ctx, random, allNodes())
}

// terminatePaused sends SIGTERM to a node that is paused and goes on some time later.
func (f *injector) terminatePaused(_ context.Context, random *rand.Rand, length time.Duration) {
	n := pick(random, allNodes())
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

// resume lets the process of a node go on that was told to end.
func (k *cluster) resume(n node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.ending[n.name]; p != nil {
		_ = p.command.Process.Signal(syscall.SIGCONT) // it may have ended
	}
}

// hangUpInSeries sends SIGHUP to nodes again and again, several at a time.
func (f *injector) hangUpInSeries(ctx context.Context, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		for range 1 + random.Intn(3) {
			if n := pick(random, allNodes()); f.cluster.hasStarted(n) {
				f.cluster.signal(n, syscall.SIGHUP)
			}
		}
		pause(ctx, time.Duration(random.Int63n(int64(seriesPause))))
	}
}
