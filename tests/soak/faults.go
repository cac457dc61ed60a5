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
	// faultsAtOnce is how many faults are under way at a time, at the most.
	faultsAtOnce = 3
	// maxFault is the longest fault.
	maxFault = 3 * time.Second
	// restartDelay is how long a killed process is down, at the least.
	restartDelay = 300 * time.Millisecond
)

// injector draws faults from a seed and brings them about.
type injector struct {
	cluster  *cluster
	workload *workload
	report   func(format string, args ...any)

	mu sync.Mutex
	// disturbed has the nodes that a fault is under way at; no other one begins there.
	disturbed map[string]bool
}

// fault is a kind of fault. It returns when it is over.
type fault struct {
	name string
	do   func(*injector, context.Context, *rand.Rand, time.Duration)
}

// faults are all kinds.
var faults = []fault{
	{"kill", (*injector).killOne},
	{"kill of several", (*injector).killSeveral},
	{"kill of all", (*injector).killAll},
	{"kill of all relays", (*injector).killRelays},
	{"pause", (*injector).pauseOne},
	{"partition", (*injector).cutOne},
	{"connections reset", (*injector).resetOne},
	{"answers lost", (*injector).loseAnswers},
	{"restart of proxies in turn", (*injector).restartProxies},
	{"restart of control-plane nodes in turn", (*injector).restartControl},
	{"restart of all in turn", (*injector).restartAll},
	{"SIGTERM in a pause", (*injector).terminatePaused},
	{"SIGHUP in series", (*injector).hangUpInSeries},
	{"pause of several", (*injector).pauseSeveral},
	{"seeds changed", (*injector).changeSeeds},
	{"seeds changed to relays", (*injector).changeSeedsToRelays},
	{"disk lost", (*injector).loseDisk},
	{"disk lost in a kill of all", (*injector).loseDiskInKillOfAll},
}

// run brings about faults for a time, and returns when all are over.
func (f *injector) run(ctx context.Context, seed int64, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var lanes sync.WaitGroup
	for lane := range faultsAtOnce {
		random := rand.New(rand.NewSource(seed*faultsAtOnce + int64(lane)))
		lanes.Go(func() {
			for ctx.Err() == nil {
				pause(ctx, time.Duration(random.Int63n(int64(maxFault/2))))
				kind := faults[random.Intn(len(faults))]
				length := restartDelay + time.Duration(random.Int63n(int64(maxFault)))
				f.report("%s for %v", kind.name, length.Round(time.Millisecond))
				kind.do(f, ctx, random, length)
			}
		})
	}
	lanes.Wait()
}

// claim takes nodes for a fault; false if one of them is disturbed already.
func (f *injector) claim(nodes ...node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		if f.disturbed[n.name] {
			return false
		}
	}
	for _, n := range nodes {
		f.disturbed[n.name] = true
	}
	return true
}

// release gives the nodes back.
func (f *injector) release(nodes ...node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		delete(f.disturbed, n.name)
	}
}

// kill kills nodes at once and starts them again after a time.
func (f *injector) kill(ctx context.Context, length time.Duration, nodes ...node) {
	if !f.claim(nodes...) {
		return
	}
	defer f.release(nodes...)
	f.killAtOnce(nodes...)
	pause(ctx, length)
	f.start(nodes...)
}

// killAtOnce kills nodes, all before the first is waited for.
func (f *injector) killAtOnce(nodes ...node) {
	var kills sync.WaitGroup
	for _, n := range nodes {
		kills.Go(func() { f.cluster.kill(n) })
	}
	kills.Wait()
}

// start starts nodes.
func (f *injector) start(nodes ...node) {
	for _, n := range nodes {
		if err := f.cluster.start(n); err != nil {
			f.cluster.checks.fail("start of %s: %v", n.name, err)
		}
	}
}

func (f *injector) killOne(ctx context.Context, random *rand.Rand, length time.Duration) {
	f.kill(ctx, length, pick(random, allNodes()))
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
	f.pause(ctx, length, pick(random, allNodes()))
}

func (f *injector) pauseSeveral(ctx context.Context, random *rand.Rand, length time.Duration) {
	nodes := controlNodes()
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	f.pause(ctx, length, nodes[:2+random.Intn(len(nodes)-2)]...)
}

// pause stops the processes of nodes for a time.
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

func (f *injector) cutOne(ctx context.Context, random *rand.Rand, length time.Duration) {
	n := pick(random, controlNodes())
	d := direction(1 + random.Intn(int(bothWays)))
	if !f.claim(n) {
		return
	}
	defer f.release(n)
	f.cluster.network.cut(n.name, d)
	pause(ctx, length)
	f.cluster.network.mend(n.name)
}

func (f *injector) resetOne(_ context.Context, random *rand.Rand, _ time.Duration) {
	f.cluster.network.reset(pick(random, allNodes()).name)
}

func (f *injector) loseAnswers(ctx context.Context, _ *rand.Rand, length time.Duration) {
	f.workload.loseAnswers.Store(true)
	pause(ctx, length)
	f.workload.answersLostUntil.Store(time.Now().UnixNano())
	f.workload.loseAnswers.Store(false)
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
	var hangUp []node
	for _, n := range allNodes() {
		if random.Intn(2) == 0 {
			hangUp = append(hangUp, n)
		}
	}
	f.report("seeds: %s", strings.Join(names, " "))
	if err := f.cluster.setSeeds(seeds, hangUp); err != nil {
		f.cluster.checks.fail("settings: %v", err)
	}
}

// loseDisk kills a core node and empties its disk.
func (f *injector) loseDisk(ctx context.Context, random *rand.Rand, length time.Duration) {
	n := pick(random, coreNodes)
	if f.claim(coreNodes...) {
		f.loseDiskAndKill(ctx, length, n, []node{n}, coreNodes)
	}
}

// loseDiskInKillOfAll kills everything, and one core node comes back with an empty disk.
func (f *injector) loseDiskInKillOfAll(ctx context.Context, random *rand.Rand, length time.Duration) {
	if f.claim(allNodes()...) {
		f.loseDiskAndKill(ctx, length, pick(random, coreNodes), allNodes(), allNodes())
	}
}

// loseDiskAndKill kills nodes and empties the disk of n, which is one of them. It does so only while
// all of the core counts, as one lost disk is what the deployment bears. The claimed nodes stay
// undisturbed until n has caught up, and are released then.
func (f *injector) loseDiskAndKill(ctx context.Context, length time.Duration, n node, killed, claimed []node) {
	defer f.release(claimed...)
	probe, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := f.workload.checkCore(probe); err != nil {
		return // not all of the core counts now
	}
	f.killAtOnce(killed...)
	if err := f.cluster.wipe(n); err != nil {
		f.cluster.checks.fail("disk of %s: %v", n.name, err)
	}
	pause(ctx, length)
	f.start(killed...)
	end := time.Now().Add(recoveryBound)
	for f.workload.checkCore(context.WithoutCancel(ctx)) != nil {
		if time.Now().After(end) {
			f.cluster.checks.fail("%s with an emptied disk did not catch up", n.name)
			return
		}
		time.Sleep(workerPause)
	}
}

// describe is how a run is named in messages.
func describe(seed int64, duration time.Duration) string {
	return fmt.Sprintf("seed %d, faults for %v", seed, duration)
}
