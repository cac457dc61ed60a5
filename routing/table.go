// Package routing compiles a configuration into a route table, in which services and
// routes have dense indices, and finds the route of a request.
package routing

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"lichentray/config"
)

// Table is a compiled configuration. It is not changed after Compile, and is safe for
// concurrent use.
type Table struct {
	Version  uint64
	Limits   config.Limits
	Services []config.Cluster
	Routes   []*Route

	routesByHost map[string][]*Route // by lower-case host; longest prefix first
	serviceIndex map[string]int      // in Services, by name
}

// Compile builds the table of a validated configuration. Rules without any defined
// service, which validation rejects, are left out.
func Compile(c *config.Configuration) *Table {
	t := &Table{
		Version:      c.Version,
		Limits:       c.Limits,
		routesByHost: map[string][]*Route{},
		serviceIndex: map[string]int{},
	}
	t.addServices(c.Clusters)
	for _, l := range c.Listeners {
		t.addListener(l)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// addServices adds the services. Of several with one name the first counts.
func (t *Table) addServices(clusters []config.Cluster) {
	for _, c := range clusters {
		if _, isKnown := t.serviceIndex[c.Name]; isKnown {
			continue
		}
		t.serviceIndex[c.Name] = len(t.Services)
		t.Services = append(t.Services, c)
	}
}

func (t *Table) addListener(l config.Listener) {
	host := strings.ToLower(l.Hostname)
	if _, isKnown := t.routesByHost[host]; !isKnown {
		t.routesByHost[host] = nil // a host without rules is known too, see HasHost
	}
	for _, rule := range l.Rules {
		r := t.compileRoute(rule)
		if r == nil {
			continue
		}
		t.Routes = append(t.Routes, r)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
}

// compileRoute returns the route of a rule with the next index, or nil if none of its
// services is defined.
func (t *Table) compileRoute(rule config.Rule) *Route {
	r := &Route{
		Index:         len(t.Routes),
		Name:          rule.Name,
		Prefix:        rule.Match.Prefix,
		Type:          rule.Type,
		Idempotent:    rule.Type != config.RouteNonIdempotent && rule.Type != config.RouteUpload,
		Priority:      int(rule.Priority),
		TargetLatency: durationOfSeconds(rule.TargetLatencySeconds),
		Timeout:       durationOfSeconds(rule.Action.TimeoutSeconds),
		MaxAttempts:   int(rule.Action.MaxAttempts),
		Regions:       rule.Action.Regions,
	}
	split := rule.Action.Split
	if len(split) == 0 {
		split = []config.BackendRef{{Service: rule.Action.Service, Weight: 1}}
	}
	for _, ref := range split {
		i, isDefined := t.serviceIndex[ref.Service]
		if !isDefined {
			continue
		}
		r.Backends = append(r.Backends, Backend{Service: i, Weight: ref.Weight})
		r.totalWeight += ref.Weight
	}
	if len(r.Backends) == 0 {
		return nil
	}
	return r
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ServiceIndex returns the index of a service in Services, or -1.
func (t *Table) ServiceIndex(name string) int {
	if i, ok := t.serviceIndex[name]; ok {
		return i
	}
	return -1
}

// HasHost reports whether the configuration has a listener for a host.
func (t *Table) HasHost(host string) bool {
	_, ok := t.routesByHost[strings.ToLower(host)]
	return ok
}

// Match returns the route with the longest prefix of path on a host, or nil. The host
// may have a port. A host that is in lower case costs no allocation.
func (t *Table) Match(host, path []byte) *Route {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 && bytes.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	routes, ok := t.routesByHost[string(host)]
	if !ok {
		routes = t.routesByHost[strings.ToLower(string(host))]
	}
	for _, r := range routes {
		if len(path) >= len(r.Prefix) && string(path[:len(r.Prefix)]) == r.Prefix {
			return r
		}
	}
	return nil
}
