package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	"lichentray/internal/controlplane"
)

// statusReport is the state of the control plane, as reported by its nodes.
type statusReport struct {
	nodes       []controlplane.Status // sorted by name
	unreachable []unreachableNode
}

// unreachableNode is a node that did not return its status.
type unreachableNode struct {
	Address string `json:"control_plane"`
	Error   string `json:"error"`
}

// printStatus is the command "status".
func (c *cli) printStatus() error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	report := fetchStatus(cl)
	if len(report.nodes) == 0 {
		return exitErrorf(exitFailed, "no node answered: %v", report.unreachable)
	}
	if c.jsonOutput {
		return c.printResult("", map[string]any{"nodes": report.nodes, "unheard": report.unreachable})
	}
	w := tabwriter.NewWriter(c.out, 2, 4, 2, ' ', 0)
	report.print(w)
	return w.Flush()
}

// fetchStatus requests the status of the client's nodes, and of all members of the group that
// appear in the responses.
func fetchStatus(c *client) *statusReport {
	report := &statusReport{}
	visited := map[string]bool{}
	for pending := slices.Clone(c.nodes); len(pending) > 0; {
		node := pending[0]
		pending = pending[1:]
		if visited[node] {
			continue
		}
		visited[node] = true
		status, err := c.nodeStatus(node)
		if err != nil {
			report.unreachable = append(report.unreachable, unreachableNode{node, err.Error()})
			continue
		}
		report.nodes = append(report.nodes, status)
		for _, m := range status.Members {
			pending = append(pending, m.API)
		}
	}
	slices.SortFunc(report.nodes, func(a, b controlplane.Status) int { return cmp.Compare(a.Node, b.Node) })
	return report
}

// nodeStatus requests the status of one node.
func (c *client) nodeStatus(node string) (controlplane.Status, error) {
	var status controlplane.Status
	r, err := c.call(node, http.MethodGet, "/api/status", nil)
	if err != nil {
		return status, err
	}
	if r.status != http.StatusOK {
		return status, fmt.Errorf("answered %d", r.status)
	}
	err = json.Unmarshal(r.body, &status)
	return status, err
}

// leader returns the status of the leader with the highest term, or nil if no node is leader.
func (r *statusReport) leader() *controlplane.Status {
	var leader *controlplane.Status
	for i := range r.nodes {
		n := &r.nodes[i]
		if n.Role == "leader" && (leader == nil || n.Term > leader.Term) {
			leader = n
		}
	}
	return leader
}

// print writes the report as tab-separated text.
func (r *statusReport) print(w io.Writer) {
	r.printNodes(w)
	if leader := r.leader(); leader != nil {
		printMembers(w, leader)
		printEndpoints(w, leader)
		printDirectory(w, leader)
	} else {
		fmt.Fprintln(w, "\nno leader was found")
	}
	r.printProxies(w)
	for _, n := range r.unreachable {
		fmt.Fprintf(w, "\n%s does not answer: %s\n", n.Address, n.Error)
	}
}

func (r *statusReport) printNodes(w io.Writer) {
	newest := uint64(0)
	for _, n := range r.nodes {
		newest = max(newest, n.Revision)
	}
	fmt.Fprintln(w, "NODE\tMEMBER\tROLE\tTERM\tIN TOUCH\tCOMMIT\tDURABLE\tREVISION\tLAG\tCONFIG\tENDPOINTS\tDRAINING\tPROXIES")
	for _, n := range r.nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			n.Node, n.ID, n.Role, n.Term, n.IsUpToDate, n.CommitIndex, n.DurableIndex,
			n.Revision, newest-n.Revision, n.ConfigVersion, n.Endpoints, n.Draining, len(n.Proxies))
	}
}

func (r *statusReport) printProxies(w io.Writer) {
	fmt.Fprintln(w, "\nPROXY\tWATCHES AT\tREVISION")
	for _, n := range r.nodes {
		for _, p := range n.Proxies {
			fmt.Fprintf(w, "%s\t%s\t%d\n", p.Node, n.Node, p.Revision)
		}
	}
}

func printMembers(w io.Writer, leader *controlplane.Status) {
	fmt.Fprintln(w, "\nMEMBER\tINTERNAL ADDRESS\tZONE\tVOTES\tMATCH\tHEARD")
	for _, m := range leader.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d ms ago\n", m.ID, m.Addr, m.Zone, m.IsVoter, m.MatchIndex, m.LastContactMS)
	}
}

// printEndpoints writes the leader's information about endpoints, zones and services.
func printEndpoints(w io.Writer, leader *controlplane.Status) {
	fmt.Fprintf(w, "\nendpoints: %d cold, %d that all proxies together find ill\n", leader.WarmingUp, leader.Unhealthy)
	for _, zone := range slices.Sorted(maps.Keys(leader.Zones)) {
		fmt.Fprintf(w, "zone %s: %s\n", zone, leader.Zones[zone])
	}
	for _, name := range slices.Sorted(maps.Keys(leader.Services)) {
		s := leader.Services[name]
		fmt.Fprintf(w, "service %s: in use %s, endpoints by version %v", name, s.Rollout.Base, s.Endpoints)
		if s.Rollout.State != "" {
			fmt.Fprintf(w, "; to %s: %s", s.Rollout.Target, s.Rollout.State)
		}
		fmt.Fprintln(w)
	}
}

// printDirectory writes the proxy nodes that the directory returns to clients.
func printDirectory(w io.Writer, leader *controlplane.Status) {
	if len(leader.Registered) == 0 {
		return
	}
	fmt.Fprintln(w, "\nIN THE DIRECTORY\tADDRESS\tZONE\tWEIGHT\tLEAVING")
	for _, p := range leader.Registered {
		fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%v\n", p.Name, p.Address, p.Zone, p.Weight, p.Leaving)
	}
}
