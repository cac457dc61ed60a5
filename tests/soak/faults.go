package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxConcurrentFaults is the number of workers that inject faults concurrently.
	maxConcurrentFaults = 3
	// maxFaultDuration limits the random part of a fault's duration, which is added to restartDelay.
	maxFaultDuration = 3 * time.Second
	// restartDelay is the shortest downtime of a killed process.
	restartDelay = 300 * time.Millisecond
)

// injector generates faults from a seed and injects them.
type injector struct {
	cluster  *cluster
	workload *workload
	report   func(format string, args ...any)

	mu sync.Mutex
	// claimed holds the nodes that a fault is in progress at. Other faults that claim nodes do not start there.
	claimed map[string]bool
}

// fault is a kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(*injector, context.Context, *rand.Rand, time.Duration)
}

// faults lists all kinds of faults.
var faults = []fault{
	{"kill", (*injector).killOne},
	{"kill of several nodes", (*injector).killSeveral},
	{"kill of all nodes", (*injector).killAll},
	{"kill of all relays", (*injector).killRelays},
	{"pause", (*injector).pauseOne},
	{"partition", (*injector).partitionOne},
	{"connection reset", (*injector).resetOne},
	{"dropped responses", (*injector).dropResponses},
	{"rolling restart of proxies", (*injector).restartProxies},
	{"rolling restart of control-plane nodes", (*injector).restartControlPlane},
	{"rolling restart of all nodes", (*injector).restartAll},
	{"SIGTERM during a pause", (*injector).terminatePaused},
	{"repeated SIGHUP", (*injector).sendSIGHUPRepeatedly},
	{"pause of several nodes", (*injector).pauseSeveral},
	{"change of the seed nodes", (*injector).changeSeeds},
	{"change of the seed nodes to relays", (*injector).changeSeedsToRelays},
	{"wiped disk", (*injector).wipeDisk},
	{"wiped disk during a kill of all nodes", (*injector).wipeDiskDuringKillAll},
}

// run injects faults for a duration and returns when all are over.
func (f *injector) run(ctx context.Context, seed int64, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var workers sync.WaitGroup
	workers.Go(func() { f.runCrowds(ctx, seed) })
	for worker := range maxConcurrentFaults {
		random := rand.New(rand.NewSource(seed*maxConcurrentFaults + int64(worker)))
		workers.Go(func() {
			for ctx.Err() == nil {
				pause(ctx, time.Duration(random.Int63n(int64(maxFaultDuration/2))))
				kind := faults[random.Intn(len(faults))]
				length := restartDelay + time.Duration(random.Int63n(int64(maxFaultDuration)))
				f.report("%s for %v", kind.name, length.Round(time.Millisecond))
				kind.inject(f, ctx, random, length)
			}
		})
	}
	workers.Wait()
}

// claim reserves nodes for a fault. It returns false if one of them is already claimed.
func (f *injector) claim(nodes ...node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		if f.claimed[n.name] {
			return false
		}
	}
	for _, n := range nodes {
		f.claimed[n.name] = true
	}
	return true
}

// release ends the claim on nodes.
func (f *injector) release(nodes ...node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		delete(f.claimed, n.name)
	}
}

// kill kills nodes and starts them again after a delay.
func (f *injector) kill(ctx context.Context, length time.Duration, nodes ...node) {
	if !f.claim(nodes...) {
		return
	}
	defer f.release(nodes...)
	f.killAtOnce(nodes...)
	pause(ctx, length)
	f.start(nodes...)
}

// killAtOnce kills nodes concurrently and waits for them to exit.
func (f *injector) killAtOnce(nodes ...node) {
	var kills sync.WaitGroup
	for _, n := range nodes {
		kills.Go(func() { f.cluster.kill(n) })
	}
	kills.Wait()
}

// start starts nodes and records a violation for each that fails.
func (f *injector) start(nodes ...node) {
	for _, n := range nodes {
		if err := f.cluster.start(n); err != nil {
			f.cluster.checks.fail("start of %s: %v", n.name, err)
		}
	}
}

func (f *injector) killOne(ctx context.Context, random *rand.Rand, length time.Duration) {
	f.kill(ctx, length, randomNode(random, allNodes()))
}

func (f *injector) killSeveral(ctx context.Context, random *rand.Rand, length time.Duration) {
	nodes := allNodes()
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	f.kill(ctx, length, nodes[:2+random.Intn(len(nodes)-2)]...)
}

func (f *injector) killAll(ctx context.Context, _ *rand.Rand, length time.Duration) {
	f.kill(ctx, length, allNodes()...)
}

func (f *injector) killRelays(ctx context.Context, _ *rand.Rand, length time.Duration) {
	f.kill(ctx, length, relayNodes...)
}

func (f *injector) pauseOne(ctx context.Context, random *rand.Rand, length time.Duration) {
	f.pause(ctx, length, randomNode(random, allNodes()))
}

func (f *injector) pauseSeveral(ctx context.Context, random *rand.Rand, length time.Duration) {
	nodes := controlNodes()
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	f.pause(ctx, length, nodes[:2+random.Intn(len(nodes)-2)]...)
}

// pause suspends the processes of nodes for a duration.
func (f *injector) pause(ctx context.Context, length time.Duration, nodes ...node) {
	if !f.claim(nodes...) {
		return
	}
	defer f.release(nodes...)
	for _, n := range nodes {
		f.cluster.signal(n, syscall.SIGSTOP)
	}
	pause(ctx, length)
	for _, n := range nodes {
		f.cluster.signal(n, syscall.SIGCONT)
	}
}

func (f *injector) partitionOne(ctx context.Context, random *rand.Rand, length time.Duration) {
	n := randomNode(random, controlNodes())
	d := direction(1 + random.Intn(int(bothWays)))
	if !f.claim(n) {
		return
	}
	defer f.release(n)
	f.cluster.network.block(n.name, d)
	pause(ctx, length)
	f.cluster.network.unblock(n.name)
}

func (f *injector) resetOne(_ context.Context, random *rand.Rand, _ time.Duration) {
	f.cluster.network.reset(randomNode(random, allNodes()).name)
}

func (f *injector) dropResponses(ctx context.Context, _ *rand.Rand, length time.Duration) {
	f.workload.dropsResponses.Store(true)
	pause(ctx, length)
	f.workload.responsesDroppedUntil.Store(time.Now().UnixNano())
	f.workload.dropsResponses.Store(false)
}

func (f *injector) changeSeeds(_ context.Context, random *rand.Rand, _ time.Duration) {
	nodes := controlNodes()
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	f.setSeeds(random, nodes[:3])
}

func (f *injector) changeSeedsToRelays(_ context.Context, random *rand.Rand, _ time.Duration) {
	f.setSeeds(random, relayNodes)
}

func (f *injector) setSeeds(random *rand.Rand, nodes []node) {
	var seeds, names []string
	for _, n := range nodes {
		seeds = append(seeds, n.address(controlPort))
		names = append(names, n.name)
	}
	var notified []node
	for _, n := range allNodes() {
		if random.Intn(2) == 0 {
			notified = append(notified, n)
		}
	}
	f.report("seed nodes: %s", strings.Join(names, " "))
	if err := f.cluster.setSeeds(seeds, notified); err != nil {
		f.cluster.checks.fail("write settings: %v", err)
	}
}

// wipeDisk kills a core node and wipes its disk.
func (f *injector) wipeDisk(ctx context.Context, random *rand.Rand, length time.Duration) {
	n := randomNode(random, coreNodes)
	if f.claim(coreNodes...) {
		f.killAndWipeDisk(ctx, length, n, []node{n}, coreNodes)
	}
}

// wipeDiskDuringKillAll kills all nodes and wipes the disk of one core node.
func (f *injector) wipeDiskDuringKillAll(ctx context.Context, random *rand.Rand, length time.Duration) {
	if f.claim(allNodes()...) {
		f.killAndWipeDisk(ctx, length, randomNode(random, coreNodes), allNodes(), allNodes())
	}
}

// killAndWipeDisk kills nodes and wipes the disk of n, which is one of them. It does nothing unless all
// core nodes are up-to-date voters, as the deployment tolerates only one lost disk at a time. The
// claimed nodes stay claimed until n has caught up.
func (f *injector) killAndWipeDisk(ctx context.Context, length time.Duration, n node, killed, claimed []node) {
	defer f.release(claimed...)
	probe, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := f.workload.checkCore(probe); err != nil {
		return // not all core nodes are up-to-date voters
	}
	f.killAtOnce(killed...)
	if err := f.cluster.wipe(n); err != nil {
		f.cluster.checks.fail("wipe the disk of %s: %v", n.name, err)
	}
	pause(ctx, length)
	f.start(killed...)
	end := time.Now().Add(recoveryBound)
	for f.workload.checkCore(context.WithoutCancel(ctx)) != nil {
		if time.Now().After(end) {
			f.cluster.checks.fail("%s did not catch up after its disk was wiped", n.name)
			return
		}
		time.Sleep(workerPause)
	}
}

// describeRun describes a run in test output.
func describeRun(seed int64, duration time.Duration) string {
	return fmt.Sprintf("seed %d, faults for %v", seed, duration)
}
