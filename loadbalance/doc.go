// Package loadbalance chooses endpoints and limits what is attempted.
//
// Each proxy node keeps a Pool of the endpoints of each service. Pick chooses among
// them by locality, load, learned latency, ejection of outliers, slow start, and the
// share of a version under roll-out. RetryBudget and AdmissionLimiter are one node's
// shares of limits that hold for all nodes together. QuotaAllocator and OutlierDetector
// run on the control plane, and SelectProxies in its directory.
//
// The package does no I/O, reads no clock and starts no goroutine: the present time
// (of a monotonic clock, from any origin) and every random number are arguments.
package loadbalance
