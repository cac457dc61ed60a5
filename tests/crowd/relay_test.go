package crowd

import "testing"

// TestRelayCrowds plays the same crowds at a relay.
func TestRelayCrowds(t *testing.T) {
	for _, test := range controlTests() {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t)
			d.acknowledgeLargeConfiguration()
			gather(t, d.address(relayIP, "control_plane"), test.count, test.member)
			d.waitFor("the relay", d.isRelayAnswering)
			d.waitFor("the core node", d.isCoreAnswering)
			d.relay.check(t)
			d.core.check(t)
		})
	}
}
