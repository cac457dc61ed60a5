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

// evacuatedZone is emptied before the first step and has to stay so.
const evacuatedZone = "there"

// session is one run: the deployment, the load on it, and what it has acknowledged.
type session struct {
	cluster  *cluster
	findings *findings
	client   *client
	history  *history
	traffic  *traffic
	counter  *counter
	load     *load

	versions      map[string]string // label of the programs that run, by node name
	endpoints     map[string]string // instances that run, by address
	memberIDs     []string          // identities of the core's members
	configuration int               // the newest acknowledged version
	lateRequests  []string          // requests that the audit log has to hold
}

// newSession prepares a run.
func newSession(c *cluster, f *findings) *session {
	return &session{
		cluster:   c,
		findings:  f,
		client:    newClient(controlAddresses()...),
		history:   newHistory(f),
		traffic:   newTraffic(f),
		versions:  map[string]string{},
		endpoints: map[string]string{counterIP: countService},
	}
}

// play makes all steps. An error ends the run early; what is wrong and lets the run
// go on is a finding.
func (s *session) play(ctx context.Context, leaderFirst bool) error {
	if err := s.startFirst(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer s.counter.close()
	if err := s.startLoad(ctx); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	err := s.changeAll(ctx, leaderFirst)
	s.load.wait()
	if err != nil {
		return err
	}
	return s.checkAtEnd(ctx)
}

// startFirst starts everything on the first version.
func (s *session) startFirst(ctx context.Context) error {
	c := s.cluster
	fmt.Printf("first version: %s, second version: %s\n", filepath.Base(c.first.controlPlane), filepath.Base(c.second.controlPlane))
	for _, ip := range coreIPs {
		if err := c.startControlPlane(c.first, ip, true); err != nil {
			return err
		}
		s.versions[ip] = c.first.label
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
	s.configuration = 1
	for _, ip := range endpointIPs {
		if err := s.startEndpoint(c.first, ip); err != nil {
			return err
		}
	}
	var err error
	if s.counter, err = newCounter(s.client, s.findings); err != nil {
		return err
	}
	return s.counter.beat(ctx, 0)
}

// startLoad brings about what has to last and starts the load.
func (s *session) startLoad(ctx context.Context) error {
	if status, err := s.client.rpc(ctx, "evacuations.begin", evacuatedZone, nil, nil); err != nil || status != http.StatusOK {
		return fmt.Errorf("evacuation: status %d: %w", status, err)
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
	s.load.run(ctx, "counting endpoint", s.counter.beat)
	for i := range 3 {
		s.load.run(ctx, "client", paced(s.traffic.read(i)))
	}
	s.load.run(ctx, "client", paced(s.traffic.commit))
	s.load.run(ctx, "client", paced(s.traffic.askVersion))
	return nil
}

// paced makes room between two requests of one client.
func paced(step func(context.Context, int) error) func(context.Context, int) error {
	return func(ctx context.Context, n int) error {
		time.Sleep(requestPause)
		return step(ctx, n)
	}
}

// changeAll makes the steps from the first version to the second.
func (s *session) changeAll(ctx context.Context, leaderFirst bool) error {
	if err := s.endStep(ctx, true); err != nil {
		return err
	}
	order, err := s.orderOfChange(ctx, leaderFirst)
	if err != nil {
		return err
	}
	for _, ip := range order {
		if err := s.step(ctx, "control-plane node "+ip, true, func() error { return s.changeControlPlane(ctx, ip) }); err != nil {
			return err
		}
	}
	for _, step := range []struct {
		name         string
		proxyStaysUp bool
		do           func(context.Context) error
	}{
		{"proxy", false, s.changeProxy},
		{"kill of all", false, s.killAndStartAll},
		{"endpoints", true, s.changeEndpoints},
	} {
		if err := s.step(ctx, step.name, step.proxyStaysUp, func() error { return step.do(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

// orderOfChange returns the control-plane nodes in the order in which they change:
// the leader comes first or second.
func (s *session) orderOfChange(ctx context.Context, leaderFirst bool) ([]string, error) {
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
		return nil, fmt.Errorf("leader %q and followers %v", leader, followers)
	}
	if leaderFirst {
		return []string{leader, followers[0], followers[1]}, nil
	}
	return []string{followers[0], leader, followers[1]}, nil
}

// step changes something under load and looks at the outcome.
func (s *session) step(ctx context.Context, name string, proxyStaysUp bool, do func() error) error {
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

// endStep lets the load run on for a while, and then looks at every node and at what
// became of the requests.
func (s *session) endStep(ctx context.Context, proxyStaysUp bool) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(dwell):
	}
	if err := s.checkNodes(ctx, false); err != nil {
		return err
	}
	step, instances := s.traffic.endStep()
	share := float64(step.unserved) / float64(max(1, step.served+step.unserved))
	fmt.Printf("  %d requests served, %d not (%.3f%%), longest time without one %.2f s\n",
		step.served, step.unserved, 100*share, step.longestGap.Seconds())
	if step.lastFailure != "" {
		fmt.Println("  the last one not served:", step.lastFailure)
	}
	if proxyStaysUp && share > maxUnservedShare {
		s.findings.addf("%s: %d of %d requests were not served", step.name, step.unserved, step.served+step.unserved)
	}
	if step.longestGap > upBound || step.served == 0 {
		s.findings.addf("%s: no request was served for %v", step.name, step.longestGap)
	}
	for _, id := range s.endpoints {
		if instances[id] == 0 {
			s.findings.addf("%s: endpoint %s served no request: %v", step.name, id, instances)
		}
	}
	if s.findings.err() != nil {
		return fmt.Errorf("%s: %w", step.name, errFindings)
	}
	return nil
}

// replaceConfiguration puts the next version in force and waits until the proxy
// shows it.
func (s *session) replaceConfiguration(ctx context.Context) error {
	next := s.configuration + 1
	s.traffic.showsVersion(0)
	status, err := s.client.rpc(ctx, "configuration.replace", "", json.RawMessage(configurationText(next)), nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d: status %d", next, status)
	}
	s.configuration = next
	return s.waitForProxy(ctx)
}

// waitForProxy waits until the proxy is ready and serves the newest configuration.
func (s *session) waitForProxy(ctx context.Context) error {
	began := time.Now()
	err := waitFor(ctx, func() error {
		status, _, err := s.client.attempt(ctx, http.MethodGet, "http://"+proxyIP+":"+readinessPort+"/api/readiness", nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("readiness: status %d", status)
		}
		if err == nil {
			_, _, err = s.traffic.send(ctx, s.traffic.single, http.MethodGet, versionPath(s.configuration)+"shown", "")
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("the proxy does not serve configuration %d: %w", s.configuration, err)
	}
	s.traffic.showsVersion(s.configuration)
	fmt.Printf("  proxy serves configuration %d after %.2f s\n", s.configuration, time.Since(began).Seconds())
	return nil
}

// sendLateRequest sends a request that misses its latency target, and waits until
// the audit log holds it.
func (s *session) sendLateRequest(ctx context.Context) error {
	request := fmt.Sprint("late-", len(s.lateRequests))
	if _, _, err := s.traffic.send(ctx, s.traffic.single, http.MethodGet, "/late/"+request, request); err != nil {
		return err
	}
	s.lateRequests = append(s.lateRequests, request)
	return waitFor(ctx, func() error { return s.checkAudit(ctx, s.client) })
}

// changeControlPlane changes one control-plane node to the second version.
func (s *session) changeControlPlane(ctx context.Context, ip string) error {
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
	s.versions[ip] = s.cluster.second.label
	after, err := s.waitForNode(ctx, ip, before.Revision)
	if err != nil {
		return err
	}
	fmt.Printf("  %s at term %d, %s\n", after.Role, after.Term, s.describeLeader(after))
	return nil
}

// changeProxy changes the proxy to the second version. Until it is up, no request is
// served, as it is the only one.
func (s *session) changeProxy(ctx context.Context) error {
	s.cluster.stop(proxyIP)
	if err := s.cluster.startProxy(s.cluster.second, false); err != nil {
		return err
	}
	return s.waitForProxy(ctx)
}

// killAndStartAll kills all nodes at once and starts them on the second version.
func (s *session) killAndStartAll(ctx context.Context) error {
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

// changeEndpoints replaces the stand-in endpoints by those of the second version, which
// are other instances, one after the other.
func (s *session) changeEndpoints(ctx context.Context) error {
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

// startEndpoint starts a stand-in endpoint in place of the one that ran there.
func (s *session) startEndpoint(v programs, ip string) error {
	s.endpoints[ip] = v.label + "-" + ip
	return s.cluster.startEndpoint(v, ip, s.endpoints[ip])
}

// printFigures prints what the run did.
func (s *session) printFigures() {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Printf("calls to the control plane: %d, further attempts: %d, longest until a clear answer: %.2f s\n",
		s.client.calls.Load(), s.client.retries.Load(), time.Duration(s.client.longest.Load()).Seconds())
	fmt.Printf("numbers drawn: %d, highest %d; fences: %d, highest %d; puts: %d, highest revision %d; refused: %d; different reads: %d\n",
		len(h.numbers), h.number, len(h.fences), h.fence, len(h.puts), h.group, len(h.refused), len(h.reads))
	fmt.Printf("configurations: %d, audit records: %d, lines \"snapshot installed\" in the logs: %d\n",
		s.configuration, len(s.lateRequests), s.cluster.countInLogs("snapshot installed"))
}
