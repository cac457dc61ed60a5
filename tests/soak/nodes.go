package soak

import (
	"flag"
	"fmt"
	"slices"
)

var (
	relayCount = flag.Int("soak.relays", 3, "number of relays")
	proxyCount = flag.Int("soak.proxies", 2, "number of proxy nodes")
	subnet     = flag.Int("soak.subnet", 0, "second byte of the loopback addresses; concurrent runs need different values")
)

// coreCount is the number of core nodes. The deployment tolerates the loss of one.
const coreCount = 3

// node is a node of the deployment.
type node struct {
	name    string // its IP address, at which other nodes reach it
	bindIP  string // address it listens on; empty for a proxy
	program string
	hasDisk bool
}

// coreNodes, relayNodes and proxyNodes are the nodes of the deployment.
var coreNodes, relayNodes, proxyNodes []node

// initNodes sets up the nodes according to the flags.
func initNodes() {
	const core, relays, proxies = 81, 84, 1 // last byte of the first address of each role
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

// controlNodes returns the control-plane nodes: core nodes and relays.
func controlNodes() []node { return slices.Concat(coreNodes, relayNodes) }

// allNodes returns all nodes.
func allNodes() []node { return slices.Concat(coreNodes, relayNodes, proxyNodes) }

// address returns the node's address with the given port.
func (n node) address(port int) string { return fmt.Sprintf("%s:%d", n.name, port) }

// metricsAddress returns the address at which the node serves its metrics.
func (n node) metricsAddress() string {
	if n.bindIP == "" {
		return n.address(readinessPort)
	}
	return fmt.Sprintf("%s:%d", n.bindIP, controlPort)
}
