// Package proxy is the data plane: a proxy node keeps a copy of the registry and forwards
// client requests to the endpoints of services.
//
// # Request path
//
// Frontend accepts client connections and hands each request to Proxy.HandleRequest
// (handle.go), which reads and validates the request, matches its route (request.go) and
// forwards it (forwarding.go): the service admits the request (queue.go, rollout.go), an
// endpoint is picked (service.go) and attempted (attempt.go, on a connection of connpool.go
// and conn.go; response.go reads the response), and a table decides on retries by the outcome
// (outcome.go, retry.go), until the response is relayed (respond.go; a long body is streamed
// by responsestream.go) or the client receives an error.
//
// # Configuration and registry updates
//
// Proxy.ListAndWatch is a reflector (reflector.go): it finds a control-plane node
// (finder.go), lists the registry once and then watches it (watchstream.go). Each change
// is applied to the services, or compiled into the next routing snapshot (apply.go,
// snapshot.go). In the other direction, the node reports its load and its observations of
// endpoints and rollouts, and applies the totals, verdicts and quota grants that the control
// plane computes from the reports of all proxies (report.go).
//
// # Concurrency
//
// A single goroutine, that of ListAndWatch, applies changes. Each request runs on its own
// goroutine. Requests share the routing snapshot, which is immutable and replaced atomically,
// and the services, each of which is guarded by a mutex.
package proxy
