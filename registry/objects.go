package registry

import (
	"encoding/json"
	"fmt"
)

// Keys and key prefixes by object kind. They are stored data and part of the internal
// protocol.
const (
	EndpointPrefix       = "endpoints/"            // + Endpoint.ID
	DepartedPrefix       = "departed/"             // + Endpoint.ID, see Departure
	ProxyPrefix          = "proxies/"              // + Proxy.Name
	EvacuationPrefix     = "evacuations/"          // + zone
	RolloutPrefix        = "rollouts/"             // + service
	AcceptedConfigPrefix = "accepted/"             // + version, see AcceptedConfigKey
	ConfigKey            = "configuration/current" // the active configuration
)

// Endpoint is one incarnation of a server of a service, stored under EndpointPrefix.
type Endpoint struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Version  string `json:"version,omitempty"` // of the server's software
	Address  string `json:"address"`           // host:port
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"` // maximum number of concurrent requests
	Draining bool   `json:"draining,omitempty"`
	// Sequence is the sequence number of the newest heartbeat that changed the object.
	// Endpoints number their heartbeats so that late ones can be detected.
	Sequence uint64 `json:"sequence"`
	// RegisteredSequence is the sequence number of the heartbeat that registered the
	// endpoint, or 0 if Sequence still has that number. See IsNewIncarnation.
	RegisteredSequence uint64 `json:"registered,omitempty"`
	// WarmUpSeconds is the warm-up time that the endpoint had left at registration, in
	// seconds. Later heartbeats do not change it.
	WarmUpSeconds float64 `json:"cold_s,omitempty"`
	// WarmingUp is true from the heartbeat that announces a warm-up to the first one that
	// does not. It is set only if the settings limit the load of endpoints that warm up.
	WarmingUp bool `json:"cold,omitempty"`
}

// Key returns the key under which the endpoint is stored.
func (e Endpoint) Key() string { return EndpointPrefix + e.ID }

// Encode encodes the endpoint as the value of an object.
func (e Endpoint) Encode() []byte { return marshalValue(e) }

// FirstSequence returns the sequence number of the heartbeat that registered the endpoint.
func (e Endpoint) FirstSequence() uint64 {
	if e.RegisteredSequence != 0 {
		return e.RegisteredSequence
	}
	return e.Sequence
}

// IsNewIncarnation reports whether a heartbeat with the number sequence comes from a later
// incarnation than the one registered by a heartbeat with the number registeredSequence. An
// incarnation never reuses a number, so even a late heartbeat of the registered incarnation
// cannot have the number of the one that registered it. Sequence 0 proves nothing: the
// endpoint does not number its heartbeats.
func IsNewIncarnation(registeredSequence, sequence uint64) bool {
	return sequence != 0 && sequence == registeredSequence
}

// Departure is the tombstone of an endpoint that deregistered or that was removed while it
// was draining, stored under DepartedPrefix. It prevents late heartbeats from registering
// the endpoint again.
type Departure struct {
	// RegisteredSequence is the endpoint's FirstSequence, or 0 if it is unknown.
	RegisteredSequence uint64 `json:"registered,omitempty"`
}

// Encode encodes the departure as the value of an object.
func (d Departure) Encode() []byte { return marshalValue(d) }

// DecodeDeparture decodes a departure from an object's value. It returns the zero value for
// an unreadable one; earlier versions wrote an empty value.
func DecodeDeparture(o Object) Departure {
	departure, err := unmarshalValue[Departure](o)
	if err != nil {
		return Departure{}
	}
	return departure
}

// DecodeEndpoint decodes an endpoint from an object's value.
func DecodeEndpoint(o Object) (Endpoint, error) { return unmarshalValue[Endpoint](o) }

// Proxy is a proxy node, stored under ProxyPrefix if clients find proxies through the
// directory. Reports also transfer it in gob encoding, so its field names are part of the
// internal protocol.
type Proxy struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`
	// Leaving reports whether the proxy is shutting down gracefully and accepts no new
	// clients.
	Leaving bool `json:"leaving,omitempty"`
	// Weight is the capacity of the node relative to the other proxies.
	Weight float64 `json:"weight"`
}

// Key returns the key under which the proxy is stored.
func (p Proxy) Key() string { return ProxyPrefix + p.Name }

// Encode encodes the proxy as the value of an object.
func (p Proxy) Encode() []byte { return marshalValue(p) }

// DecodeProxy decodes a proxy from an object's value.
func DecodeProxy(o Object) (Proxy, error) { return unmarshalValue[Proxy](o) }

// marshalValue returns the JSON encoding of a struct whose fields cannot fail to encode.
func marshalValue(v any) []byte {
	value, _ := json.Marshal(v)
	return value
}

// unmarshalValue decodes an object's value from JSON.
func unmarshalValue[T any](o Object) (T, error) {
	var v T
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return v, fmt.Errorf("registry: decode %s: %w", o.Key, err)
	}
	return v, nil
}
