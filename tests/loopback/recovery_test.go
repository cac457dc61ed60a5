package loopback

import (
	"os/exec"
	"testing"
)

const configuration = `{"config_version":1,"clusters":[{"name":"s","health_check_path":"/health"}],"listeners":[]}`

// startAll starts all programs of the testbed.
func (s *testbed) startAll() []*exec.Cmd {
	return []*exec.Cmd{
		s.start("lichentray-controlplane", coreIP),
		s.start("lichentray-controlplane", firstRelayIP),
		s.start("lichentray-controlplane", secondRelayIP),
		s.start("lichentray-proxy", firstProxyIP),
		s.start("lichentray-proxy", secondProxyIP),
	}
}

// TestServiceRecoversWhereAllSeedsAreRelays guards against a deployment that cannot restart when its
// settings name only relays as seed nodes: all processes are killed and restarted with such settings.
// Relays and proxies have no persistent state, so they know only the seed nodes, and no proxy knows the
// address of the core node, which has the disk. Relays must forward calls and proxies must become ready
// again.
func TestServiceRecoversWhereAllSeedsAreRelays(t *testing.T) {
	s := newTestbed(t)
	processes := s.startAll()
	s.waitFor("a configuration through each relay", func() bool {
		return s.postTo(firstRelayIP, "configuration.replace", configuration) == 200 &&
			s.postTo(secondRelayIP, "configuration.replace", configuration) == 200
	})
	areProxiesReady := func() bool { return s.isReady(firstProxyIP) && s.isReady(secondProxyIP) }
	s.waitFor("both proxies to be ready", areProxiesReady)

	s.killAll(processes...)
	s.seeds = []string{firstRelayIP, secondRelayIP}
	s.isFirstStart = false
	s.startAll()
	s.waitFor("the core node to serve calls again", func() bool { return s.post("evacuations.read", "{}") == 200 })
	s.waitFor("both relays to forward calls", func() bool {
		return s.postTo(firstRelayIP, "evacuations.read", "{}") == 200 && s.postTo(secondRelayIP, "evacuations.read", "{}") == 200
	})
	s.waitFor("both proxies to be ready again", areProxiesReady)
}

// TestConfigurationOutlastsSeedsWithoutDisk guards against the loss of an acknowledged configuration when
// diskless seed nodes are killed: at the first start the seed nodes are two relays without a disk, and
// all processes are killed right after the acknowledgement. The core node, which has a disk, must be a
// voter by then.
func TestConfigurationOutlastsSeedsWithoutDisk(t *testing.T) {
	s := newTestbed(t)
	s.seeds = []string{firstRelayIP, secondRelayIP}
	processes := s.startAll()
	s.waitFor("a configuration through a seed node", func() bool {
		return s.postTo(firstRelayIP, "configuration.replace", configuration) == 200
	})
	s.killAll(processes...)
	s.isFirstStart = false
	s.startAll()
	for _, ip := range []string{coreIP, firstRelayIP, secondRelayIP} {
		s.waitFor("the configuration at "+ip, func() bool { return s.postTo(ip, "configuration.read", "{}") == 200 })
	}
	s.waitFor("both proxies to be ready", func() bool { return s.isReady(firstProxyIP) && s.isReady(secondProxyIP) })
}
