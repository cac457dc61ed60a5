package crowd

import (
	"encoding/binary"
	"testing"
)

// TestInternalPortCrowds plays crowds at the internal port, which trusts the addresses of peers but
// not what arrives before their hello.
func TestInternalPortCrowds(t *testing.T) {
	const announcedBytes, sentBytes = 30 << 20, 2 << 20
	frame := append(binary.BigEndian.AppendUint32(nil, announcedBytes), make([]byte, sentBytes)...)
	tests := []controlTest{
		{"idle", idleCrowd, member{}},
		{"frames without an end", 64, member{start: frame}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t)
			gather(t, d.address(coreIP, "internal"), test.count, test.member)
			gather(t, d.address(relayIP, "internal"), test.count, test.member)
			d.waitFor("the core node", d.isCoreAnswering)
			d.waitFor("the relay", d.isRelayAnswering)
			d.core.check(t)
			d.relay.check(t)
		})
	}
}
