// Package proxy is the data plane: a proxy node keeps a copy of the registry and forwards
// the requests of clients to the endpoints of services.
//
// # The way of a request
//
// Frontend accepts client connections and hands each request to Proxy.HandleRequest
// (handle.go). That reads and checks the request and finds its route (request.go), and
// forwards it (forwarding.go): the service admits it (queue.go, rollout.go), an endpoint is
// picked (service.go) and attempted (attempt.go, on a connection of connpool.go and conn.go,
// whose response response.go reads), and one table decides on the outcome (outcome.go,
// retry.go), until the response is relayed (relay.go) or the client gets an error.
//
// # The way of a change
//
// Proxy.ListAndWatch is a reflector (reflector.go): it finds a control-plane node
// (finder.go), lists the registry once and then watches it (stream.go). Each change is
// applied to the services, or compiled into the next routing snapshot (apply.go,
// snapshot.go). On the way back the node reports its load and what it saw of endpoints and
// roll-outs, and applies what the control plane makes of all reports (report.go).
//
// # Concurrency
//
// One goroutine, that of ListAndWatch, applies changes. Requests run on goroutines of
// their own; they share the routing snapshot, which is replaced as a whole, and the
// services, each with a lock.
package proxy
