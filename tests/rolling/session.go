package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// evacuatedZone is evacuated before the first step and has to stay evacuated.
const evacuatedZone = "there"

// session is one run: the deployment, the load on it, and the state it has acknowledged.
type session struct {
	cluster  *cluster
	findings *findings
	client   *client
	history  *history
	traffic  *traffic
	counter  *countingEndpoint
	load     *load

	nodeVersions  map[string]string // label of the running version, by node name
	endpointIDs   map[string]string // identifiers of the running endpoints, by IP address
	memberIDs     []string          // of the core, sorted
	configVersion int               // the last acknowledged one
	lateRequests  []string          // identifiers of requests that the audit log has to contain
}

// newSession returns a run whose deployment has not been started.
func newSession(c *cluster, f *findings) *session {
	return &session{
		cluster:      c,
		findings:     f,
		client:       newClient(controlAddresses()...),
		history:      newHistory(f),
		traffic:      newTraffic(f),
		nodeVersions: map[string]string{},
		endpointIDs:  map[string]string{counterIP: counterService},
	}
}

// run makes all steps. An error ends the run at once; a violation after which the run can
// go on is a finding.
func (s *session) run(ctx context.Context, leaderFirst bool) error {
	if err := s.startFirstVersion(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer s.counter.close()
	if err := s.startLoad(ctx); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	err := s.updateAll(ctx, leaderFirst)
	s.load.stopAndWait()
	if err != nil {
		return err
	}
	return s.checkFinalState(ctx)
}

// startFirstVersion starts the deployment on the first version.
func (s *session) startFirstVersion(ctx context.Context) error {
	c := s.cluster
	fmt.Printf("first version: %s, second version: %s\n", filepath.Base(c.first.controlPlane), filepath.Base(c.second.controlPlane))
	for _, ip := range coreIPs {
		if err := c.startControlPlane(c.first, ip, true); err != nil {
			return err
		}
		s.nodeVersions[ip] = c.first.label
	}
	if err := c.startProxy(c.first, true); err != nil {
		return err
	}
	for _, ip := range coreIPs {
		if _, err := s.waitForNode(ctx, ip, 0); err != nil {
			return err
		}
	}
	path := filepath.Join(c.directory, "configuration.json")
	if err := os.WriteFile(path, []byte(configurationText(1)), 0o600); err != nil {
		return err
	}
	if _, err := c.runCommand(ctx, c.first, "config", "replace", path); err != nil {
		return err
	}
	s.configVersion = 1
	for _, ip := range endpointIPs {
		if err := s.startEndpoint(c.first, ip); err != nil {
			return err
		}
	}
	var err error
	if s.counter, err = newCountingEndpoint(s.client, s.findings); err != nil {
		return err
	}
	return s.counter.heartbeat(ctx, 0)
}

// startLoad creates the state that has to persist and starts the load.
func (s *session) startLoad(ctx context.Context) error {
	if status, err := s.client.rpc(ctx, "evacuations.begin", evacuatedZone, nil, nil); err != nil || status != http.StatusOK {
		return fmt.Errorf("evacuations.begin: status %d: %w", status, err)
	}
	var err error
	if s.load, err = newLoad(ctx, s.client, s.history, s.findings); err != nil {
		return err
	}
	if err := s.waitForProxy(ctx); err != nil {
		return err
	}
	s.traffic.beginStep("before")
	s.load.start(ctx)
	s.load.runWorker(ctx, "counting endpoint", s.counter.heartbeat)
	for i := range 3 {
		s.load.runWorker(ctx, "client", paced(s.traffic.sendIdempotent(i)))
	}
	s.load.runWorker(ctx, "client", paced(s.traffic.sendNonIdempotent))
	s.load.runWorker(ctx, "client", paced(s.traffic.checkVersionRoute))
	return nil
}

// paced returns a step that waits for requestInterval before each request.
func paced(step func(context.Context, int) error) func(context.Context, int) error {
	return func(ctx context.Context, n int) error {
		time.Sleep(requestInterval)
		return step(ctx, n)
	}
}

// updateAll makes the steps of the update from the first version to the second.
func (s *session) updateAll(ctx context.Context, leaderFirst bool) error {
	if err := s.endStep(ctx, true); err != nil {
		return err
	}
	order, err := s.updateOrder(ctx, leaderFirst)
	if err != nil {
		return err
	}
	for _, ip := range order {
		if err := s.runStep(ctx, "control-plane node "+ip, true, func() error { return s.updateControlPlane(ctx, ip) }); err != nil {
			return err
		}
	}
	for _, step := range []struct {
		name         string
		proxyStaysUp bool
		do           func(context.Context) error
	}{
		{"proxy", false, s.updateProxy},
		{"kill and restart of all nodes", false, s.killAndRestartAll},
		{"endpoints", true, s.updateEndpoints},
	} {
		if err := s.runStep(ctx, step.name, step.proxyStaysUp, func() error { return step.do(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

// updateOrder returns the control-plane nodes in the order in which they are updated:
// the leader is first or second.
func (s *session) updateOrder(ctx context.Context, leaderFirst bool) ([]string, error) {
	var leader string
	var followers []string
	for _, ip := range coreIPs {
		status, err := s.nodeStatus(ctx, ip)
		if err != nil {
			return nil, err
		}
		if status.ID == status.Leader {
			leader = ip
		} else {
			followers = append(followers, ip)
		}
	}
	if leader == "" || len(followers) != 2 {
		return nil, fmt.Errorf("leader %q and followers %v, want one leader and two followers", leader, followers)
	}
	if leaderFirst {
		return []string{leader, followers[0], followers[1]}, nil
	}
	return []string{followers[0], leader, followers[1]}, nil
}

// runStep makes one step under load and checks its outcome.
func (s *session) runStep(ctx context.Context, name string, proxyStaysUp bool, do func() error) error {
	fmt.Printf("%s\n", name)
	if err := s.replaceConfiguration(ctx); err != nil {
		return fmt.Errorf("before %s: %w", name, err)
	}
	if err := s.sendLateRequest(ctx); err != nil {
		return fmt.Errorf("before %s: %w", name, err)
	}
	s.traffic.beginStep(name)
	if err := do(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return s.endStep(ctx, proxyStaysUp)
}

// endStep lets the load run for observationTime, and then checks every node and the
// outcomes of the step's requests.
func (s *session) endStep(ctx context.Context, proxyStaysUp bool) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(observationTime):
	}
	if err := s.checkNodes(ctx, false); err != nil {
		return err
	}
	step, instances := s.traffic.endStep()
	share := float64(step.failed) / float64(max(1, step.succeeded+step.failed))
	fmt.Printf("  %d requests succeeded, %d failed (%.3f%%), longest time without a success %.2f s\n",
		step.succeeded, step.failed, 100*share, step.longestGap.Seconds())
	if step.lastFailure != "" {
		fmt.Println("  last failure:", step.lastFailure)
	}
	if proxyStaysUp && share > maxFailedRatio {
		s.findings.addf("%s: %d of %d requests failed", step.name, step.failed, step.succeeded+step.failed)
	}
	if step.longestGap > operationTimeout || step.succeeded == 0 {
		s.findings.addf("%s: no request succeeded for %v", step.name, step.longestGap)
	}
	for _, id := range s.endpointIDs {
		if instances[id] == 0 {
			s.findings.addf("%s: endpoint %s served no request: %v", step.name, id, instances)
		}
	}
	if s.findings.err() != nil {
		return fmt.Errorf("%s: %w", step.name, errFindings)
	}
	return nil
}

// replaceConfiguration puts the next configuration version in force and waits until the
// proxy serves it.
func (s *session) replaceConfiguration(ctx context.Context) error {
	next := s.configVersion + 1
	s.traffic.setServedVersion(0)
	status, err := s.client.rpc(ctx, "configuration.replace", "", json.RawMessage(configurationText(next)), nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("replacing the configuration by version %d: status %d, want 200", next, status)
	}
	s.configVersion = next
	return s.waitForProxy(ctx)
}

// waitForProxy waits until the proxy is ready and serves the latest configuration.
func (s *session) waitForProxy(ctx context.Context) error {
	began := time.Now()
	err := waitFor(ctx, func() error {
		status, _, err := s.client.attempt(ctx, http.MethodGet, "http://"+proxyIP+":"+readinessPort+"/api/readiness", nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("readiness: status %d, want 200", status)
		}
		if err == nil {
			_, _, err = s.traffic.send(ctx, s.traffic.noKeepAlive, http.MethodGet, versionPath(s.configVersion)+"shown", "")
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("the proxy does not serve configuration version %d: %w", s.configVersion, err)
	}
	s.traffic.setServedVersion(s.configVersion)
	fmt.Printf("  proxy serves configuration version %d after %.2f s\n", s.configVersion, time.Since(began).Seconds())
	return nil
}

// sendLateRequest sends a request that misses its latency target, and waits until the
// audit log contains it.
func (s *session) sendLateRequest(ctx context.Context) error {
	request := fmt.Sprint("late-", len(s.lateRequests))
	if _, _, err := s.traffic.send(ctx, s.traffic.noKeepAlive, http.MethodGet, "/late/"+request, request); err != nil {
		return err
	}
	s.lateRequests = append(s.lateRequests, request)
	return waitFor(ctx, func() error { return s.checkAudit(ctx, s.client) })
}

// updateControlPlane restarts one control-plane node on the second version.
func (s *session) updateControlPlane(ctx context.Context, ip string) error {
	before, err := s.nodeStatus(ctx, ip)
	if err != nil {
		return err
	}
	fmt.Printf("  %s at term %d, %s\n", before.Role, before.Term, s.describeLeader(before))
	s.cluster.stop(ip)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(downTime):
	}
	if err := s.cluster.startControlPlane(s.cluster.second, ip, false); err != nil {
		return err
	}
	s.nodeVersions[ip] = s.cluster.second.label
	after, err := s.waitForNode(ctx, ip, before.Revision)
	if err != nil {
		return err
	}
	fmt.Printf("  %s at term %d, %s\n", after.Role, after.Term, s.describeLeader(after))
	return nil
}

// updateProxy restarts the proxy on the second version. Until it is up, all requests
// fail, as it is the only proxy.
func (s *session) updateProxy(ctx context.Context) error {
	s.cluster.stop(proxyIP)
	if err := s.cluster.startProxy(s.cluster.second, false); err != nil {
		return err
	}
	return s.waitForProxy(ctx)
}

// killAndRestartAll kills all nodes at once and restarts them on the second version.
func (s *session) killAndRestartAll(ctx context.Context) error {
	var revision uint64
	for _, ip := range coreIPs {
		status, err := s.nodeStatus(ctx, ip)
		if err != nil {
			return err
		}
		revision = max(revision, status.Revision)
	}
	c := s.cluster
	nodes := append(slices.Clone(coreIPs), proxyIP)
	c.kill(nodes...)
	for _, ip := range coreIPs {
		if err := c.startControlPlane(c.second, ip, false); err != nil {
			return err
		}
	}
	if err := c.startProxy(c.second, false); err != nil {
		return err
	}
	for _, ip := range coreIPs {
		if _, err := s.waitForNode(ctx, ip, revision); err != nil {
			return err
		}
	}
	return s.waitForProxy(ctx)
}

// updateEndpoints replaces the example endpoints one after the other by those of the
// second version, which register as new instances.
func (s *session) updateEndpoints(ctx context.Context) error {
	c := s.cluster
	for _, ip := range endpointIPs {
		c.stop(ip)
		if err := s.startEndpoint(c.second, ip); err != nil {
			return err
		}
		if err := s.waitForEndpoints(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startEndpoint starts an example endpoint at an address and records its identifier.
func (s *session) startEndpoint(v programs, ip string) error {
	s.endpointIDs[ip] = v.label + "-" + ip
	return s.cluster.startEndpoint(v, ip, s.endpointIDs[ip])
}

// printSummary prints the counts of calls, results and installed snapshots.
func (s *session) printSummary() {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Printf("calls to the control plane: %d, retries: %d, longest until a conclusive response: %.2f s\n",
		s.client.calls.Load(), s.client.retries.Load(), time.Duration(s.client.longestCall.Load()).Seconds())
	fmt.Printf("numbers allocated: %d, highest %d; fencing tokens: %d, highest %d; puts: %d, highest revision %d; rejected: %d; distinct reads: %d\n",
		len(h.numbers.seen), h.numbers.max, len(h.fences.seen), h.fences.max, len(h.puts), h.maxRevision, len(h.rejected), len(h.reads))
	fmt.Printf("configurations: %d, audit records: %d, lines \"snapshot installed\" in the logs: %d\n",
		s.configVersion, len(s.lateRequests), s.cluster.countInLogs("snapshot installed"))
}
