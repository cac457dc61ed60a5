package soak

import (
	"fmt"
	"sync"
	"time"
)

// maxViolations limits the recorded violations, as the first ones are the most informative.
const maxViolations = 20

// disconnectionBound is how long an endpoint may work on an idempotent request after its client has
// disconnected. It is far above the proxies' own limit, to allow for a busy machine.
const disconnectionBound = 6 * time.Second

// checks records responses to clients and executions at endpoints, and collects the violations found.
// Safe for concurrent use.
type checks struct {
	mu         sync.Mutex
	violations []string

	runs           map[string]int           // executions of non-idempotent requests, by request ID
	notExecuted    map[string]int           // status of responses that rule out an execution, by request ID
	disconnections map[string]disconnection // by request ID
	slowRuns       map[string]slowRun       // by request ID

	// deregistrations holds when the deregistration of an endpoint was acknowledged, by endpoint ID. They
	// are checked from undisturbedSince on, which is zero while faults are injected.
	deregistrations  map[string]time.Time
	undisturbedSince time.Time

	ackedVersion  int
	numbers       monotonicValue
	fencingTokens monotonicValue // of the lock that acquireAndReleaseLock uses
	locks         *lockHistory

	served, unserved, disconnected, acknowledged int
}

// disconnection is a client that disconnected while its request was in progress.
type disconnection struct {
	proxy string
	at    time.Time
}

// slowRun is the execution of a slow request. ended is zero while it is in progress.
type slowRun struct {
	began, ended time.Time
}

func newChecks() *checks {
	c := &checks{
		runs:            map[string]int{},
		notExecuted:     map[string]int{},
		disconnections:  map[string]disconnection{},
		slowRuns:        map[string]slowRun{},
		deregistrations: map[string]time.Time{},
		numbers:         monotonicValue{name: "number"},
		fencingTokens:   monotonicValue{name: "fencing token"},
	}
	c.locks = newLockHistory(c.fail)
	return c
}

// fail records a violation.
func (c *checks) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(format, args...)
}

// failLocked is like fail. The caller holds c.mu.
func (c *checks) failLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// recordRun records that an endpoint executes a non-idempotent request, which must not execute twice nor
// after a response that ruled out an execution.
func (c *checks) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.runs[id] > 1 {
		c.failLocked("request %s was executed %d times", id, c.runs[id])
	}
	if status := c.notExecuted[id]; status != 0 {
		c.failLocked("request %s was executed after status %d had ruled that out", id, status)
	}
}

// recordNotExecuted records a response which guarantees that a request was not and will not be executed.
func (c *checks) recordNotExecuted(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notExecuted[id] = status
	if c.runs[id] > 0 {
		c.failLocked("request %s got status %d, which rules out an execution, but it was executed", id, status)
	}
}

// recordUnanswered records that the connection of a non-idempotent request ended without a response and
// without an unplanned outage of the proxy: no endpoint may have executed it.
func (c *checks) recordUnanswered(id, proxy string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[id] > 0 {
		c.failLocked("request %s was executed, but %s closed its connection without a response", id, proxy)
	}
}

// recordOutcome counts a request as served or not served.
func (c *checks) recordOutcome(isServed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isServed {
		c.served++
	} else {
		c.unserved++
	}
}

// recordDisconnection records that a client disconnected before the response.
func (c *checks) recordDisconnection(id, proxy string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected++
	c.disconnections[id] = disconnection{proxy: proxy, at: time.Now()}
}

// beginSlowRun and endSlowRun record the start and end of the execution of a slow request.
func (c *checks) beginSlowRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowRuns[id] = slowRun{began: time.Now()}
}

func (c *checks) endSlowRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run := c.slowRuns[id]
	run.ended = time.Now()
	c.slowRuns[id] = run
}

// checkDisconnections checks that no endpoint started or continued work on a request more than
// disconnectionBound after its client disconnected. Requests through proxies for which hadOutage is true
// at that time are skipped.
func (c *checks) checkDisconnections(hadOutage func(proxy string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, d := range c.disconnections {
		run, hasRun := c.slowRuns[id]
		until := d.at.Add(disconnectionBound)
		if !hasRun || until.After(time.Now()) || hadOutage(d.proxy, d.at.Add(-time.Second), until) {
			continue
		}
		if run.began.After(until) {
			c.failLocked("request %s through %s started %v after its client disconnected", id, d.proxy, run.began.Sub(d.at))
		}
		if run.ended.IsZero() {
			run.ended = time.Now()
		}
		if run.ended.After(until) {
			c.failLocked("request %s through %s was in progress %v after its client disconnected", id, d.proxy, run.ended.Sub(d.at))
		}
	}
}

// recordDeregistration records that the deregistration of an endpoint was acknowledged.
func (c *checks) recordDeregistration(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged++
	c.deregistrations[endpoint] = time.Now()
}

// setUndisturbedSince marks the time from which no faults are injected.
func (c *checks) setUndisturbedSince(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.undisturbedSince = from
}

// recordArrival records that a request reached an endpoint. None may arrive later than
// deregistrationBound after both its acknowledged deregistration and undisturbedSince.
func (c *checks) recordArrival(endpoint, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deregisteredAt, isDeregistered := c.deregistrations[endpoint]
	if !isDeregistered || c.undisturbedSince.IsZero() {
		return
	}
	now := time.Now()
	if now.Sub(deregisteredAt) > deregistrationBound && now.Sub(c.undisturbedSince) > deregistrationBound {
		c.failLocked("request %s reached %s %v after its acknowledged deregistration", id, endpoint, now.Sub(deregisteredAt))
	}
}

// acknowledgedVersion returns the highest acknowledged configuration version.
func (c *checks) acknowledgedVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedVersion
}

// recordVersion records that a configuration version was acknowledged.
func (c *checks) recordVersion(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged++
	c.ackedVersion = max(c.ackedVersion, version)
}

// checkVersion checks that a read configuration is not older than the one that was acknowledged before
// the read was sent.
func (c *checks) checkVersion(node string, version, acknowledgedBefore int) {
	if version < acknowledgedBefore {
		c.fail("%s returned configuration %d after %d had been acknowledged", node, version, acknowledgedBefore)
	}
}

// monotonicValue is a series of issued values, each of which must exceed those issued before its call
// was sent.
type monotonicValue struct {
	name   string
	newest uint64
}

// newest returns the highest issued value.
func (c *checks) newest(r *monotonicValue) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.newest
}

// recordMonotonic checks an issued value against the highest one issued before the call was sent.
func (c *checks) recordMonotonic(r *monotonicValue, value, before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged++
	if value <= before {
		c.failLocked("%s %d was issued after %d", r.name, value, before)
	}
	r.newest = max(r.newest, value)
}

// result returns the recorded violations.
func (c *checks) result() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// summary describes the work done during the run in one line.
func (c *checks) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	acquired, reacquired, released := c.locks.counts()
	return fmt.Sprintf("%d requests served, %d not served, %d clients disconnected, %d calls acknowledged, %d locks acquired, %d of them reacquired, %d released",
		c.served, c.unserved, c.disconnected, c.acknowledged, acquired, reacquired, released)
}
