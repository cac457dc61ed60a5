package loopback

import (
	"os/exec"
	"testing"
)

const configuration = `{"config_version":1,"clusters":[{"name":"s","health_check_path":"/health"}],"listeners":[]}`

// startAll starts every program of the testbed.
func (s *testbed) startAll() []*exec.Cmd {
	return []*exec.Cmd{
		s.start("lichentray-controlplane", coreIP),
		s.start("lichentray-controlplane", firstRelayIP),
		s.start("lichentray-controlplane", secondRelayIP),
		s.start("lichentray-proxy", firstProxyIP),
		s.start("lichentray-proxy", secondProxyIP),
	}
}

// Everything is killed at once and comes back with settings that name relays only as seed
// nodes. Relays and proxies keep nothing on disk, so all that they know is the seeds. The core
// node has its disk, but no proxy knows where it is. Calls at the relays and requests at the
// proxies are served again all the same.
func TestServiceRecoversWhereAllSeedsAreRelays(t *testing.T) {
	s := newTestbed(t)
	processes := s.startAll()
	s.waitFor("a configuration by way of each relay", func() bool {
		return s.postTo(firstRelayIP, "configuration.replace", configuration) == 200 &&
			s.postTo(secondRelayIP, "configuration.replace", configuration) == 200
	})
	areProxiesReady := func() bool { return s.isReady(firstProxyIP) && s.isReady(secondProxyIP) }
	s.waitFor("both proxies are ready", areProxiesReady)

	s.killAll(processes...)
	s.seeds = []string{firstRelayIP, secondRelayIP}
	s.isFirstStart = false
	s.startAll()
	s.waitFor("the core is back", func() bool { return s.post("evacuations.read", "{}") == 200 })
	s.waitFor("both relays forward calls", func() bool {
		return s.postTo(firstRelayIP, "evacuations.read", "{}") == 200 && s.postTo(secondRelayIP, "evacuations.read", "{}") == 200
	})
	s.waitFor("both proxies are ready again", areProxiesReady)
}

// Guards against an acknowledged configuration that ends with the processes of seeds without a disk:
// at the first start the seeds are two machines without a disk, and everything is killed right after
// the acknowledgement. The machine with a disk must hold the vote by then.
func TestConfigurationOutlastsSeedsWithoutDisk(t *testing.T) {
	s := newTestbed(t)
	s.seeds = []string{firstRelayIP, secondRelayIP}
	processes := s.startAll()
	s.waitFor("a configuration by way of a seed", func() bool {
		return s.postTo(firstRelayIP, "configuration.replace", configuration) == 200
	})
	s.killAll(processes...)
	s.isFirstStart = false
	s.startAll()
	for _, ip := range []string{coreIP, firstRelayIP, secondRelayIP} {
		s.waitFor("the configuration at "+ip, func() bool { return s.postTo(ip, "configuration.read", "{}") == 200 })
	}
	s.waitFor("both proxies are ready", func() bool { return s.isReady(firstProxyIP) && s.isReady(secondProxyIP) })
}
