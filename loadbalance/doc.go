// Package loadbalance selects endpoints and enforces concurrency, retry and warm-up limits.
//
// Each proxy node keeps one Pool of endpoints per service. Pool.Pick selects an endpoint by
// locality, load, learned latency, outlier ejection, slow start and the traffic share of a
// version under rollout. RetryBudget and AdmissionLimiter enforce one node's share of
// limits that apply to all nodes together. QuotaAllocator and OutlierDetector run on the
// control plane, and SelectProxies in its directory.
//
// The package does no I/O, reads no clock and starts no goroutine: callers pass in the
// current time (from a monotonic clock with an arbitrary origin) and a source of random
// numbers.
package loadbalance
