// Package proxy is the data plane: a proxy node keeps a copy of the registry and forwards
// the requests of clients to the endpoints of services.
//
// # The path of a request
//
// Frontend accepts client connections and hands each request to Proxy.HandleRequest
// (handle.go). That reads and checks the request and finds its route (request.go), and
// forwards it (forwarding.go): the service admits it (queue.go, rollout.go), an endpoint is
// picked (service.go) and attempted (attempt.go, on a connection of connpool.go and conn.go,
// whose response response.go reads), and one table decides on the outcome (outcome.go,
// retry.go), until the response is relayed (respond.go; a long body streams through
// responsestream.go) or the client gets an error.
//
// # The path of a change
//
// Proxy.ListAndWatch is a reflector (reflector.go): it finds a control-plane node
// (finder.go), lists the registry once and then watches it (watchstream.go). Each change
// is applied to the services, or compiled into the next routing snapshot (apply.go,
// snapshot.go). In the other direction the node reports its load and what it saw of endpoints
// and roll-outs, and applies the totals, verdicts and quota grants that the control plane
// computes from the reports of all proxies (report.go).
//
// # Concurrency
//
// One goroutine, that of ListAndWatch, applies changes. Requests run on goroutines of
// their own; they share the routing snapshot, which is immutable and replaced atomically, and the
// services, each with a lock.
package proxy
