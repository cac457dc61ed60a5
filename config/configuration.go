// Package config defines the routing configuration that an operator submits: its JSON schema,
// its Go types and its validation. Package routing compiles it into a route table.
package config

// Configuration is a configuration as submitted by an operator. It replaces the active
// configuration if its version is higher.
type Configuration struct {
	Version   uint64     `json:"config_version"`
	Limits    Limits     `json:"limits"`
	Listeners []Listener `json:"listeners"`
	Clusters  []Cluster  `json:"clusters"`
}

// Limits defines limits on the size and the duration of client requests.
type Limits struct {
	MaxHeaderBytes       float64 `json:"max_header_bytes"`
	MaxBodyBytes         float64 `json:"max_body_bytes"`
	HeaderTimeoutSeconds float64 `json:"header_timeout_s"`
	IdleTimeoutSeconds   float64 `json:"idle_timeout_s"`
}

// Listener holds the routes of one host.
type Listener struct {
	Hostname string `json:"hostname"`
	Rules    []Rule `json:"rules"`
}

// Rule is one route.
type Rule struct {
	Name                 string      `json:"name"`
	Type                 RouteType   `json:"route_type"`
	TargetLatencySeconds float64     `json:"target_latency_s"`
	Priority             float64     `json:"priority"`
	Match                RouteMatch  `json:"match"`
	Action               RouteAction `json:"action"`
}

// RouteType classifies the requests of a route. It determines whether they are idempotent.
type RouteType string

// The route types. Requests on idempotent and download routes may be sent more than once
// (RFC 9110, section 9.2.2).
const (
	RouteIdempotent    RouteType = "idempotent"
	RouteNonIdempotent RouteType = "non_idempotent"
	RouteDownload      RouteType = "download"
	RouteUpload        RouteType = "upload"
)

// RouteMatch is the condition under which a route matches a request: a path prefix, compared
// byte by byte. If several routes of a host match, the one with the longest prefix is used.
type RouteMatch struct {
	Prefix string `json:"path_prefix"`
}

// RouteAction defines how the requests of a route are forwarded: to Service or, if Split is
// not empty, to the services of Split in proportion to their weights.
type RouteAction struct {
	Service        string       `json:"backend_service"`
	Split          []BackendRef `json:"traffic_split"`
	TimeoutSeconds float64      `json:"timeout_s"`
	MaxAttempts    float64      `json:"max_attempts"`
	// Regions lists the regions whose endpoints may serve the route. If it is empty, all
	// endpoints may.
	Regions []string `json:"allowed_regions"`
}

// BackendRef is a service in a traffic split.
type BackendRef struct {
	Service string  `json:"backend_service"`
	Weight  float64 `json:"weight"`
}

// Cluster is one service.
type Cluster struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_check_path"`
	MaxConnections float64 `json:"max_connections"`
	// WarmUpSeconds is how long an endpoint warms up after its start, and
	// WarmUpRatePerSecond how many requests per second it can serve during that time;
	// 0 means no limit.
	WarmUpSeconds       float64 `json:"cold_start_s"`
	WarmUpRatePerSecond float64 `json:"cold_rate_s"`
}
