// Package routing compiles a configuration into a route table, which assigns dense indices to
// services and routes and matches requests to routes.
package routing

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"lichentray/config"
)

// Table is a compiled configuration. It is immutable after Compile and safe for concurrent
// use.
type Table struct {
	Version  uint64
	Limits   config.Limits
	Services []config.Cluster
	Routes   []*Route

	routesByHost map[string][]*Route // by lower-case host; longest prefix first
	serviceIndex map[string]int      // index in Services, by name
}

// Compile builds the table of a validated configuration. It omits rules without a defined
// service, which validation would reject.
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

// addServices adds the services. If several have the same name, the first one is used.
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
		t.routesByHost[host] = nil // HasHost also reports hosts without rules
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

// compileRoute compiles a rule into a route with the next index. It returns nil if none of the
// rule's services is defined.
func (t *Table) compileRoute(rule config.Rule) *Route {
	r := &Route{
		Index:         len(t.Routes),
		Name:          rule.Name,
		Prefix:        rule.Match.Prefix,
		Type:          rule.Type,
		Idempotent:    rule.Type != config.RouteNonIdempotent && rule.Type != config.RouteUpload,
		Priority:      int(rule.Priority),
		TargetLatency: secondsToDuration(rule.TargetLatencySeconds),
		Timeout:       secondsToDuration(rule.Action.TimeoutSeconds),
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
		r.Backends = append(r.Backends, Backend{ServiceIndex: i, Weight: ref.Weight})
		r.totalWeight += ref.Weight
	}
	if len(r.Backends) == 0 {
		return nil
	}
	return r
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ServiceIndex returns the index of a service in Services, or -1 if it is not defined.
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

// Match returns the route of a host whose prefix is the longest one that matches path, or nil
// if there is none. host may include a port. A lower-case host is matched without an
// allocation.
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
