package soak

import (
	"flag"
	"fmt"
	"slices"
)

var (
	relayCount = flag.Int("soak.relays", 3, "number of relays")
	proxyCount = flag.Int("soak.proxies", 2, "number of proxy nodes")
	subnet     = flag.Int("soak.subnet", 0, "second byte of the loopback addresses, so that several runs do not meet")
)

// coreCount is the number of core nodes. The deployment bears the loss of one.
const coreCount = 3

// node is one node of the deployment.
type node struct {
	name    string // its IP address, at which the others reach it
	bindIP  string // where it listens; empty for a proxy
	program string
	hasDisk bool
}

// coreNodes, relayNodes and proxyNodes are the deployment.
var coreNodes, relayNodes, proxyNodes []node

// layOut lays out the deployment as the flags say.
func layOut() {
	const core, relays, proxies = 81, 84, 1 // the last bytes of the first addresses
	coreNodes = controlNodesFrom(core, coreCount, true)
	relayNodes = controlNodesFrom(relays, *relayCount, false)
	for i := range *proxyCount {
		proxyNodes = append(proxyNodes, node{name: fmt.Sprintf("127.%d.2.%d", *subnet, proxies+i), program: "lichentray-proxy"})
	}
}

// controlNodesFrom returns control-plane nodes at consecutive addresses.
func controlNodesFrom(first, count int, hasDisk bool) (nodes []node) {
	for i := range count {
		nodes = append(nodes, node{
			name:    fmt.Sprintf("127.%d.0.%d", *subnet, first+i),
			bindIP:  fmt.Sprintf("127.%d.1.%d", *subnet, first+i),
			program: "lichentray-controlplane",
			hasDisk: hasDisk,
		})
	}
	return nodes
}

// controlNodes are those that serve calls.
func controlNodes() []node { return slices.Concat(coreNodes, relayNodes) }

// allNodes are all nodes.
func allNodes() []node { return slices.Concat(coreNodes, relayNodes, proxyNodes) }

// address returns an address of a node.
func (n node) address(port int) string { return fmt.Sprintf("%s:%d", n.name, port) }

// metricsAddress is where the node tells its counters.
func (n node) metricsAddress() string {
	if n.bindIP == "" {
		return n.address(readinessPort)
	}
	return fmt.Sprintf("%s:%d", n.bindIP, controlPort)
}
