package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

var (
	firstSeed = flag.Int64("soak.first", 1, "first seed")
	seedCount = flag.Int64("soak.seeds", 2, "number of seeds")
	duration  = flag.Duration("soak.duration", 8*time.Second, "how long faults are injected in each run")
)

// invariantCheckInterval is how often the invariant metrics of the processes are read during a run, as
// the counters of a process are lost when it exits.
const invariantCheckInterval = 300 * time.Millisecond

// TestMain sets up the nodes before the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	initNodes()
	os.Exit(m.Run())
}

// TestSoak runs the programs under injected faults; see the package comment.
func TestSoak(t *testing.T) {
	programs := t.TempDir()
	buildPrograms(t, programs)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, programs, seed) })
	}
}

// buildPrograms builds the programs into a directory.
func buildPrograms(t *testing.T, directory string) {
	t.Helper()
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", directory+"/", "lichentray/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
}

// runSeed runs the deployment, the workload and the faults of one seed.
func runSeed(t *testing.T, programs string, seed int64) {
	checks := newChecks()
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(directory)
	cluster, err := newCluster(directory, programs, randomDeployment(seed), checks)
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.stop()
	w := newWorkload(cluster, checks)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	var faultLog []string
	began := time.Now()
	faultInjector := &injector{cluster: cluster, workload: w, claimed: map[string]bool{}}
	faultInjector.report = func(format string, args ...any) {
		faultInjector.mu.Lock()
		defer faultInjector.mu.Unlock()
		faultLog = append(faultLog, fmt.Sprintf("%6.2f s  ", time.Since(began).Seconds())+fmt.Sprintf(format, args...))
	}
	faultInjector.start(allNodes()...)
	if err := w.start(ctx, seed); err != nil {
		t.Fatal(err)
	}
	if cluster.deployment.killsAllAtFirstVersion {
		w.waitForFirstVersion()
		endFirstStart(t, cluster)
		faultInjector.killAll(ctx, nil, restartDelay)
	}
	if took, err := w.waitForRecovery(ctx); err != nil {
		checks.fail("the deployment did not start within %v: %v", took, err)
	}
	endFirstStart(t, cluster)
	w.workers.Go(func() {
		for ctx.Err() == nil {
			w.checkInvariants(ctx)
			cluster.checkLimits()
			pause(ctx, invariantCheckInterval)
		}
	})
	began = time.Now()
	faultInjector.run(ctx, seed, *duration)
	took, err := w.waitForRecovery(ctx)
	if err != nil {
		checks.fail("no recovery %v after the last fault: %v", took, err)
	}
	checks.setUndisturbedSince(time.Now())
	w.checkInvariants(ctx)
	cluster.checkLimits()
	w.checkAcknowledgedState(ctx)
	pause(ctx, max(disconnectionBound, deregistrationBound+maxHeartbeatDelay)) // for the last disconnected clients and deregistered endpoints
	cancel()
	w.workers.Wait()
	checks.checkDisconnections(cluster.hadOutage)
	w.wait()
	t.Logf("%s, %v: %s; recovered in %v", describeRun(seed, *duration), cluster.deployment, checks.summary(), took.Round(time.Millisecond))
	if violations := checks.result(); len(violations) > 0 {
		t.Errorf("%s\nfaults:\n%s\nlogs:\n%s", strings.Join(violations, "\n"), strings.Join(faultLog, "\n"), cluster.logTails(25))
	}
}

// endFirstStart rewrites the settings so that later starts are not first starts.
func endFirstStart(t *testing.T, k *cluster) {
	t.Helper()
	if err := k.setSeeds(k.seeds, nil); err != nil {
		t.Fatal(err)
	}
}
