package registry

import (
	"encoding/json"
	"fmt"
)

// Keys of the object kinds. They are stored data and part of the internal protocol.
const (
	EndpointPrefix       = "endpoints/"            // + Endpoint.ID
	DepartedPrefix       = "departed/"             // + Endpoint.ID of an endpoint that left
	ProxyPrefix          = "proxies/"              // + Proxy.Name
	EvacuationPrefix     = "evacuations/"          // + zone
	RolloutPrefix        = "rollouts/"             // + service
	AcceptedConfigPrefix = "accepted/"             // + version, see AcceptedConfigKey
	ConfigKey            = "configuration/current" // the configuration in force
)

// Endpoint is one incarnation of one server of a service, as it is stored under
// EndpointPrefix.
type Endpoint struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Version  string `json:"version,omitempty"` // of the server's software
	Address  string `json:"address"`           // host:port
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"` // requests that it works on at once
	Draining bool   `json:"draining,omitempty"`
	// Sequence is that of the newest heartbeat that changed the object. An endpoint
	// numbers its heartbeats, so that one that arrives late is recognised.
	Sequence uint64 `json:"sequence"`
	// RegisteredSequence is that of the heartbeat that registered the endpoint, where Sequence
	// is not that any more; see StartsAgain.
	RegisteredSequence uint64 `json:"registered,omitempty"`
	// WarmUpSeconds is how many seconds of warm-up the endpoint had left when it was
	// registered. Later heartbeats do not change it.
	WarmUpSeconds float64 `json:"cold_s,omitempty"`
	// WarmingUp is true from the heartbeat that announces a warm-up to the one that no
	// longer does. It is kept only where the settings bound the load of an endpoint
	// that warms up.
	WarmingUp bool `json:"cold,omitempty"`
}

// Key returns the key under which the endpoint is stored.
func (e Endpoint) Key() string { return EndpointPrefix + e.ID }

// Encode returns the endpoint as the value of an object.
func (e Endpoint) Encode() []byte { return marshalValue(e) }

// FirstSequence returns the sequence of the heartbeat that registered the endpoint.
func (e Endpoint) FirstSequence() uint64 {
	if e.RegisteredSequence != 0 {
		return e.RegisteredSequence
	}
	return e.Sequence
}

// StartsAgain reports whether a heartbeat comes from a later incarnation than the one that was
// registered by a heartbeat with the given sequence. A heartbeat of the same incarnation may come
// late, but each has a sequence of its own, so none has that of one which has arrived already. A
// sequence of 0 is that of an endpoint which does not number its heartbeats, and proves nothing.
func StartsAgain(registeredSequence, sequence uint64) bool {
	return sequence != 0 && sequence == registeredSequence
}

// Departure is what is kept of an endpoint that has announced its end, under DepartedPrefix. It
// keeps late heartbeats from registering the endpoint again.
type Departure struct {
	// RegisteredSequence is Endpoint.FirstSequence, or 0 if it is not known.
	RegisteredSequence uint64 `json:"registered,omitempty"`
}

// Encode returns the departure as the value of an object.
func (d Departure) Encode() []byte { return marshalValue(d) }

// DecodeDeparture reads a departure from an object's value. Earlier versions wrote an empty value.
func DecodeDeparture(o Object) Departure {
	departure, err := unmarshalValue[Departure](o)
	if err != nil {
		return Departure{}
	}
	return departure
}

// DecodeEndpoint reads an endpoint from an object's value.
func DecodeEndpoint(o Object) (Endpoint, error) { return unmarshalValue[Endpoint](o) }

// Proxy is one proxy node, as it is stored under ProxyPrefix where clients find
// proxies through the directory. Reports carry it by gob too, so its field names
// are part of the internal protocol.
type Proxy struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`
	// Leaving says that the proxy is shutting down gracefully and takes no new
	// clients.
	Leaving bool `json:"leaving,omitempty"`
	// Weight is the load that the node can carry relative to the other proxies.
	Weight float64 `json:"weight"`
}

// Key returns the key under which the proxy is stored.
func (p Proxy) Key() string { return ProxyPrefix + p.Name }

// Encode returns the proxy as the value of an object.
func (p Proxy) Encode() []byte { return marshalValue(p) }

// DecodeProxy reads a proxy from an object's value.
func DecodeProxy(o Object) (Proxy, error) { return unmarshalValue[Proxy](o) }

// marshalValue returns the JSON form of a struct of plain fields, which cannot fail
// to encode.
func marshalValue(v any) []byte {
	value, _ := json.Marshal(v)
	return value
}

// unmarshalValue reads an object's value from its JSON form.
func unmarshalValue[T any](o Object) (T, error) {
	var v T
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return v, fmt.Errorf("registry: decode %s: %w", o.Key, err)
	}
	return v, nil
}
