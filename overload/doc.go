// Package overload decides how much clients may make a process hold, and which of them gives way
// when that is too much.
//
// Divide derives the limits of a process from its memory and its descriptors. An Account holds the
// state: a Holder for each open connection, with the bytes that the process keeps for it. Bytes are
// reserved before they are read and released when they are no longer needed. When a reservation
// does not fit, or a listener has too many connections, the account names connections to evict:
// those for which the process has kept the most bytes for the longest time, and never one whose
// request is being processed.
//
// An Account is not safe for concurrent use. It reads no clock: times are arguments, as durations
// since any fixed start. The effects of an eviction are up to the caller, which closes the
// connection and reports that by Account.Close.
package overload
