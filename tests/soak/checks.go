package soak

import (
	"fmt"
	"sync"
	"time"
)

// maxViolations bounds what is kept; the first ones tell most.
const maxViolations = 20

// departureBound is how long an endpoint may work on a request that may be repeated after its
// client has left. It is far above the proxies' own bound, as the machine may be busy.
const departureBound = 6 * time.Second

// checks holds what the callers were told and what the endpoints did, and what is wrong with it.
// All goroutines may use it.
type checks struct {
	mu         sync.Mutex
	violations []string

	runs       map[string]int       // of requests that may run once, by id
	promises   map[string]int       // of requests that are not to run, the status by id
	departures map[string]departure // by id of the request
	slowRuns   map[string]slowRun   // by id of the request

	// signOffs is when the sign-off of an endpoint was acknowledged, by its ID. They are judged from
	// judgedFrom on, which is zero while faults are under way.
	signOffs   map[string]time.Time
	judgedFrom time.Time

	ackedVersion int
	numbers      rising
	fences       rising // of new holders of the lock
	locks        *lockHistory

	served, unserved, left, acknowledged int
}

// departure is a client that left while its request was in progress.
type departure struct {
	proxy string
	at    time.Time
}

// slowRun is a run of a request whose client leaves. ended is zero while it lasts.
type slowRun struct {
	began, ended time.Time
}

func newChecks() *checks {
	c := &checks{
		runs:       map[string]int{},
		promises:   map[string]int{},
		departures: map[string]departure{},
		slowRuns:   map[string]slowRun{},
		signOffs:   map[string]time.Time{},
		numbers:    rising{name: "number"},
		fences:     rising{name: "fence"},
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

// failLocked is fail for a caller that holds the lock.
func (c *checks) failLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// recordRun records that an endpoint runs a request that may run once: it may neither run twice nor
// after a promise that it does not run.
func (c *checks) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.runs[id] > 1 {
		c.failLocked("request %s ran %d times", id, c.runs[id])
	}
	if status := c.promises[id]; status != 0 {
		c.failLocked("request %s ran after status %d had promised that it does not", id, status)
	}
}

// recordPromise records an answer which promises that a request has not run and never will.
func (c *checks) recordPromise(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promises[id] = status
	if c.runs[id] > 0 {
		c.failLocked("request %s was answered %d, though it had run", id, status)
	}
}

// recordCutOff records that the connection of a request which may run once ended without an answer,
// while nothing but planned work was done to the proxy: no endpoint may have run it.
func (c *checks) recordCutOff(id, proxy string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[id] > 0 {
		c.failLocked("request %s ran, but %s ended its connection without an answer", id, proxy)
	}
}

// recordOutcome counts whether a request was served.
func (c *checks) recordOutcome(isServed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isServed {
		c.served++
	} else {
		c.unserved++
	}
}

// recordDeparture records that a client has left.
func (c *checks) recordDeparture(id, proxy string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left++
	c.departures[id] = departure{proxy: proxy, at: time.Now()}
}

// beginSlowRun and endSlowRun record the work on a request whose client leaves.
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

// checkDepartures checks that no endpoint began or went on to work long after the client had left.
// Proxies that did not run at the time are left out; wasDisturbed reports that.
func (c *checks) checkDepartures(wasDisturbed func(proxy string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, d := range c.departures {
		run, hasRun := c.slowRuns[id]
		until := d.at.Add(departureBound)
		if !hasRun || until.After(time.Now()) || wasDisturbed(d.proxy, d.at.Add(-time.Second), until) {
			continue
		}
		if run.began.After(until) {
			c.failLocked("request %s at %s began %v after its client had left", id, d.proxy, run.began.Sub(d.at))
		}
		if run.ended.IsZero() {
			run.ended = time.Now()
		}
		if run.ended.After(until) {
			c.failLocked("the work on request %s at %s went on for %v after its client had left", id, d.proxy, run.ended.Sub(d.at))
		}
	}
}

// recordSignOff records that the sign-off of an endpoint was acknowledged.
func (c *checks) recordSignOff(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged++
	c.signOffs[endpoint] = time.Now()
}

// judgeSignOffsFrom says that nothing is disturbed from a time on.
func (c *checks) judgeSignOffsFrom(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judgedFrom = from
}

// recordArrival records that a request reaches an endpoint: none may once its sign-off has had the time
// to reach all proxies, with nothing disturbed.
func (c *checks) recordArrival(endpoint, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	signedOffAt, hasSignedOff := c.signOffs[endpoint]
	if !hasSignedOff || c.judgedFrom.IsZero() {
		return
	}
	now := time.Now()
	if now.Sub(signedOffAt) > signOffBound && now.Sub(c.judgedFrom) > signOffBound {
		c.failLocked("request %s reached %s %v after its acknowledged sign-off", id, endpoint, now.Sub(signedOffAt))
	}
}

// acknowledgedVersion is the newest configuration that was acknowledged.
func (c *checks) acknowledgedVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedVersion
}

// recordVersion records that a configuration was acknowledged.
func (c *checks) recordVersion(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged++
	c.ackedVersion = max(c.ackedVersion, version)
}

// checkVersion checks a configuration that was read, against what had been acknowledged before the
// read was sent.
func (c *checks) checkVersion(node string, version, acknowledgedBefore int) {
	if version < acknowledgedBefore {
		c.fail("%s answers configuration %d, though %d had been acknowledged", node, version, acknowledgedBefore)
	}
}

// rising is a value of which each one that is given has to exceed those given before the call was
// sent.
type rising struct {
	name   string
	newest uint64
}

// newest returns the highest value that was given.
func (c *checks) newest(r *rising) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.newest
}

// recordRising checks a value that was given, against those given before the call was sent.
func (c *checks) recordRising(r *rising, value, before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged++
	if value <= before {
		c.failLocked("%s %d was given, though %d had been given before", r.name, value, before)
	}
	r.newest = max(r.newest, value)
}

// result returns the violations.
func (c *checks) result() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// summary describes in a line what was done.
func (c *checks) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	acquired, reacquired, released := c.locks.counts()
	return fmt.Sprintf("%d requests served, %d not, %d clients left, %d calls acknowledged, locks acquired %d times, %d of them again, and released %d times",
		c.served, c.unserved, c.left, c.acknowledged, acquired, reacquired, released)
}
