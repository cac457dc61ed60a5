// Package config is the configuration (schema, checking, and the compiled route
// table). Names become dense indices when a configuration is compiled.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed configuration.schema.json
var schemaText []byte

// Schema is a compiled JSON schema whose errors name the field.
type Schema struct{ s *jsonschema.Schema }

// NewSchema compiles a JSON schema.
func NewSchema(text []byte) (*Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", doc); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	s, err := c.Compile("schema.json")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return &Schema{s}, nil
}

// Check validates a value; the error is one line that begins with the field.
func (s *Schema) Check(v any) error {
	err := s.s.Validate(v)
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return err
	}
	for len(ve.Causes) > 0 {
		ve = ve.Causes[0]
	}
	field := strings.Join(ve.InstanceLocation, ".")
	if field == "" {
		field = "(top)"
	}
	msg := ve.Error()
	if i := strings.LastIndex(msg, ": "); i >= 0 {
		msg = msg[i+2:]
	}
	return fmt.Errorf("%s: %s", field, strings.TrimSpace(msg))
}

var schema = sync.OnceValues(func() (*Schema, error) { return NewSchema(schemaText) })

// Warm compiles the schema ahead of the first configuration.
func Warm() error { _, err := schema(); return err }

// RouteType says what may be repeated.
type RouteType string

// The route types.
const (
	Idempotent    RouteType = "idempotent"
	NonIdempotent RouteType = "non_idempotent"
	Download      RouteType = "download"
	Upload        RouteType = "upload"
)

// Share is one service of a split.
type Share struct {
	Service string  `json:"backend_service"`
	Weight  float64 `json:"weight"`
}

// Rule is one route as written.
type Rule struct {
	Name     string    `json:"name"`
	Type     RouteType `json:"route_type"`
	TargetS  float64   `json:"target_latency_s"`
	Priority float64   `json:"priority"`
	Match    struct {
		Prefix string `json:"path_prefix"`
	} `json:"match"`
	Action struct {
		Service     string  `json:"backend_service"`
		Split       []Share `json:"traffic_split"`
		TimeoutS    float64 `json:"timeout_s"`
		MaxAttempts float64 `json:"max_attempts"`
		// Regions are the route's homes: no endpoint elsewhere serves it. None
		// means that any may.
		Regions []string `json:"allowed_regions"`
	} `json:"action"`
}

// Listener is one host's routes.
type Listener struct {
	Hostname string `json:"hostname"`
	Rules    []Rule `json:"rules"`
}

// Cluster is one service as written.
type Cluster struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_check_path"`
	MaxConnections float64 `json:"max_connections"`
	ColdStartS     float64 `json:"cold_start_s"`
	ColdRateS      float64 `json:"cold_rate_s"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes float64 `json:"max_header_bytes"`
	MaxBodyBytes   float64 `json:"max_body_bytes"`
	HeaderTimeoutS float64 `json:"header_timeout_s"`
	IdleTimeoutS   float64 `json:"idle_timeout_s"`
}

// Configuration is what the operator sends.
type Configuration struct {
	Version   uint64     `json:"config_version"`
	Limits    Limits     `json:"limits"`
	Listeners []Listener `json:"listeners"`
	Clusters  []Cluster  `json:"clusters"`
}

// Read reads and checks a configuration. The error names the first field that
// is wrong.
func Read(text []byte) (*Configuration, error) {
	sch, err := schema()
	if err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("not readable as JSON: %w", err)
	}
	if err := sch.Check(doc); err != nil {
		return nil, err
	}
	c, err := ReadChecked(text)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for _, s := range c.Clusters {
		known[s.Name] = true
	}
	for i, l := range c.Listeners {
		for k, r := range l.Rules {
			where := fmt.Sprintf("listeners.%d.rules.%d.action", i, k)
			if len(r.Action.Split) == 0 {
				if !known[r.Action.Service] {
					return nil, fmt.Errorf("%s.backend_service: service %q is not known", where, r.Action.Service)
				}
				continue
			}
			sum := 0.0
			for _, s := range r.Action.Split {
				if !known[s.Service] {
					return nil, fmt.Errorf("%s.traffic_split: service %q is not known", where, s.Service)
				}
				sum += s.Weight
			}
			if sum <= 0 {
				return nil, fmt.Errorf("%s.traffic_split: the weights add up to 0", where)
			}
		}
	}
	return c, nil
}

// ReadChecked reads a configuration that was checked before it was stored.
func ReadChecked(text []byte) (*Configuration, error) {
	c := new(Configuration)
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("not readable: %w", err)
	}
	return c, nil
}

// Target is one service that a route may send to.
type Target struct {
	Service int
	Weight  float64
}

// Route is one compiled route.
type Route struct {
	Index       int
	Name        string
	Prefix      string
	Type        RouteType
	Repeatable  bool
	Priority    int
	Aim         time.Duration
	Timeout     time.Duration
	MaxAttempts int
	Regions     []string
	Targets     []Target
	total       float64
}

// Pick chooses a service by weight; x lies in [0,1).
func (r *Route) Pick(x float64) int {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	x *= r.total
	for _, t := range r.Targets {
		if x < t.Weight {
			return t.Service
		}
		x -= t.Weight
	}
	for i := len(r.Targets) - 1; i >= 0; i-- {
		if r.Targets[i].Weight > 0 {
			return r.Targets[i].Service
		}
	}
	return r.Targets[0].Service
}

// Table is a compiled configuration: services and routes under dense indices.
type Table struct {
	Version  uint64
	Limits   Limits
	Services []Cluster
	Routes   []*Route
	hosts    map[string][]*Route
	service  map[string]int
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Compile builds the table of a checked configuration.
func Compile(c *Configuration) *Table {
	t := &Table{Version: c.Version, Limits: c.Limits, hosts: map[string][]*Route{}, service: map[string]int{}}
	for _, s := range c.Clusters {
		if _, twice := t.service[s.Name]; !twice {
			t.service[s.Name] = len(t.Services)
			t.Services = append(t.Services, s)
		}
	}
	for _, l := range c.Listeners {
		host := strings.ToLower(l.Hostname)
		t.hosts[host] = t.hosts[host] // a host without rules is known too
		for _, x := range l.Rules {
			r := &Route{
				Index: len(t.Routes), Name: x.Name, Prefix: x.Match.Prefix, Type: x.Type,
				Repeatable: x.Type != NonIdempotent && x.Type != Upload, Priority: int(x.Priority), Regions: x.Action.Regions,
				Aim: seconds(x.TargetS), Timeout: seconds(x.Action.TimeoutS), MaxAttempts: int(x.Action.MaxAttempts),
			}
			split := x.Action.Split
			if len(split) == 0 {
				split = []Share{{x.Action.Service, 1}}
			}
			for _, s := range split {
				i, known := t.service[s.Service]
				if !known {
					continue // Read refuses such a configuration
				}
				r.Targets = append(r.Targets, Target{i, s.Weight})
				r.total += s.Weight
			}
			if len(r.Targets) == 0 {
				continue
			}
			t.Routes = append(t.Routes, r)
			t.hosts[host] = append(t.hosts[host], r)
		}
	}
	for _, rs := range t.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return t
}

// Service gives a service's index, or -1.
func (t *Table) Service(name string) int {
	if i, ok := t.service[name]; ok {
		return i
	}
	return -1
}

// HasHost tells whether any route stands under a host.
func (t *Table) HasHost(host string) bool {
	_, ok := t.hosts[strings.ToLower(host)]
	return ok
}

// Match finds the route with the longest prefix of path on a host, or nil.
func (t *Table) Match(host, path []byte) *Route {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 && bytes.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	rs, ok := t.hosts[string(host)]
	if !ok {
		rs = t.hosts[strings.ToLower(string(host))]
	}
	for _, r := range rs {
		if len(path) >= len(r.Prefix) && string(path[:len(r.Prefix)]) == r.Prefix {
			return r
		}
	}
	return nil
}
