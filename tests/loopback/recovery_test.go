package loopback

import (
	"os/exec"
	"testing"
)

// Everything is killed at once and comes back with settings that name relays only as seed
// nodes. Relays and proxies keep nothing on disk, so all that they know is the seeds. The core
// node has its disk, but no proxy knows where it is. Calls at the relays and requests at the
// proxies are served again all the same.
func TestServiceRecoversWhereAllSeedsAreRelays(t *testing.T) {
	s := newTestbed(t)
	startAll := func() []*exec.Cmd {
		return []*exec.Cmd{
			s.start("lichentray-controlplane", coreIP),
			s.start("lichentray-controlplane", firstRelayIP),
			s.start("lichentray-controlplane", secondRelayIP),
			s.start("lichentray-proxy", firstProxyIP),
			s.start("lichentray-proxy", secondProxyIP),
		}
	}
	processes := startAll()
	const configuration = `{"config_version":1,"clusters":[{"name":"s","health_check_path":"/health"}],"listeners":[]}`
	s.waitFor("a configuration by way of each relay", func() bool {
		return s.postTo(firstRelayIP, "configuration.replace", configuration) == 200 &&
			s.postTo(secondRelayIP, "configuration.replace", configuration) == 200
	})
	areProxiesReady := func() bool { return s.isReady(firstProxyIP) && s.isReady(secondProxyIP) }
	s.waitFor("both proxies are ready", areProxiesReady)

	s.killAll(processes...)
	s.seeds = []string{firstRelayIP, secondRelayIP}
	s.isFirstStart = false
	startAll()
	s.waitFor("the core is back", func() bool { return s.post("evacuations.read", "{}") == 200 })
	s.waitFor("both relays forward calls", func() bool {
		return s.postTo(firstRelayIP, "evacuations.read", "{}") == 200 && s.postTo(secondRelayIP, "evacuations.read", "{}") == 200
	})
	s.waitFor("both proxies are ready again", areProxiesReady)
}
