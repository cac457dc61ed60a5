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
var schemaJSON []byte

// Schema is a compiled JSON schema whose errors name the field.
type Schema struct{ compiled *jsonschema.Schema }

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

// Validate validates a value; the error is one line that begins with the field.
func (s *Schema) Validate(v any) error {
	err := s.compiled.Validate(v)
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

var compiledSchema = sync.OnceValues(func() (*Schema, error) { return NewSchema(schemaJSON) })

// CompileSchema compiles the schema ahead of the first configuration.
func CompileSchema() error { _, err := compiledSchema(); return err }

// RouteType says what may be repeated.
type RouteType string

// The route types.
const (
	RouteIdempotent    RouteType = "idempotent"
	RouteNonIdempotent RouteType = "non_idempotent"
	RouteDownload      RouteType = "download"
	RouteUpload        RouteType = "upload"
)

// BackendRef is one service of a split.
type BackendRef struct {
	Service string  `json:"backend_service"`
	Weight  float64 `json:"weight"`
}

// Rule is one route as written.
type Rule struct {
	Name                 string    `json:"name"`
	Type                 RouteType `json:"route_type"`
	TargetLatencySeconds float64   `json:"target_latency_s"`
	Priority             float64   `json:"priority"`
	Match                struct {
		Prefix string `json:"path_prefix"`
	} `json:"match"`
	Action struct {
		Service     string       `json:"backend_service"`
		Split       []BackendRef `json:"traffic_split"`
		TimeoutS    float64      `json:"timeout_s"`
		MaxAttempts float64      `json:"max_attempts"`
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
	Name                string  `json:"name"`
	HealthPath          string  `json:"health_check_path"`
	MaxConnections      float64 `json:"max_connections"`
	WarmupSeconds       float64 `json:"cold_start_s"`
	WarmupRatePerSecond float64 `json:"cold_rate_s"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes       float64 `json:"max_header_bytes"`
	MaxBodyBytes         float64 `json:"max_body_bytes"`
	HeaderTimeoutSeconds float64 `json:"header_timeout_s"`
	IdleTimeoutSeconds   float64 `json:"idle_timeout_s"`
}

// Configuration is what the operator sends.
type Configuration struct {
	Version   uint64     `json:"config_version"`
	Limits    Limits     `json:"limits"`
	Listeners []Listener `json:"listeners"`
	Clusters  []Cluster  `json:"clusters"`
}

// Parse reads and checks a configuration. The error names the first field that
// is wrong.
func Parse(text []byte) (*Configuration, error) {
	sch, err := compiledSchema()
	if err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("not readable as JSON: %w", err)
	}
	if err := sch.Validate(doc); err != nil {
		return nil, err
	}
	c, err := DecodeValidated(text)
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

// DecodeValidated reads a configuration that was checked before it was stored.
func DecodeValidated(text []byte) (*Configuration, error) {
	c := new(Configuration)
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("not readable: %w", err)
	}
	return c, nil
}

// Backend is one service that a route may send to.
type Backend struct {
	Service int
	Weight  float64
}

// Route is one compiled route.
type Route struct {
	Index         int
	Name          string
	Prefix        string
	Type          RouteType
	Idempotent    bool
	Priority      int
	TargetLatency time.Duration
	Timeout       time.Duration
	MaxAttempts   int
	Regions       []string
	Backends      []Backend
	totalWeight   float64
}

// PickService chooses a service by weight; x lies in [0,1).
func (r *Route) PickService(x float64) int {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	x *= r.totalWeight
	for _, t := range r.Backends {
		if x < t.Weight {
			return t.Service
		}
		x -= t.Weight
	}
	for i := len(r.Backends) - 1; i >= 0; i-- {
		if r.Backends[i].Weight > 0 {
			return r.Backends[i].Service
		}
	}
	return r.Backends[0].Service
}

// Table is a compiled configuration: services and routes under dense indices.
type Table struct {
	Version      uint64
	Limits       Limits
	Services     []Cluster
	Routes       []*Route
	routesByHost map[string][]*Route
	serviceIndex map[string]int
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Compile builds the table of a checked configuration.
func Compile(c *Configuration) *Table {
	t := &Table{Version: c.Version, Limits: c.Limits, routesByHost: map[string][]*Route{}, serviceIndex: map[string]int{}}
	for _, s := range c.Clusters {
		if _, twice := t.serviceIndex[s.Name]; !twice {
			t.serviceIndex[s.Name] = len(t.Services)
			t.Services = append(t.Services, s)
		}
	}
	for _, l := range c.Listeners {
		host := strings.ToLower(l.Hostname)
		t.routesByHost[host] = t.routesByHost[host] // a host without rules is known too
		for _, x := range l.Rules {
			r := &Route{
				Index: len(t.Routes), Name: x.Name, Prefix: x.Match.Prefix, Type: x.Type,
				Idempotent: x.Type != RouteNonIdempotent && x.Type != RouteUpload, Priority: int(x.Priority), Regions: x.Action.Regions,
				TargetLatency: durationOfSeconds(x.TargetLatencySeconds), Timeout: durationOfSeconds(x.Action.TimeoutS), MaxAttempts: int(x.Action.MaxAttempts),
			}
			split := x.Action.Split
			if len(split) == 0 {
				split = []BackendRef{{x.Action.Service, 1}}
			}
			for _, s := range split {
				i, known := t.serviceIndex[s.Service]
				if !known {
					continue // Read refuses such a configuration
				}
				r.Backends = append(r.Backends, Backend{i, s.Weight})
				r.totalWeight += s.Weight
			}
			if len(r.Backends) == 0 {
				continue
			}
			t.Routes = append(t.Routes, r)
			t.routesByHost[host] = append(t.routesByHost[host], r)
		}
	}
	for _, rs := range t.routesByHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return t
}

// ServiceIndex gives a service's index, or -1.
func (t *Table) ServiceIndex(name string) int {
	if i, ok := t.serviceIndex[name]; ok {
		return i
	}
	return -1
}

// HasHost tells whether any route stands under a host.
func (t *Table) HasHost(host string) bool {
	_, ok := t.routesByHost[strings.ToLower(host)]
	return ok
}

// Match finds the route with the longest prefix of path on a host, or nil.
func (t *Table) Match(host, path []byte) *Route {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 && bytes.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	rs, ok := t.routesByHost[string(host)]
	if !ok {
		rs = t.routesByHost[strings.ToLower(string(host))]
	}
	for _, r := range rs {
		if len(path) >= len(r.Prefix) && string(path[:len(r.Prefix)]) == r.Prefix {
			return r
		}
	}
	return nil
}
