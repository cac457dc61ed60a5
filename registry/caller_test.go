package registry_test

import (
	"fmt"
	"time"

	"lichentray/coordination"
	"lichentray/registry"
)

// caller is a client that makes one call after another: it reads and replaces the
// configuration, reads and puts cells, requests sequence numbers, and acquires, renews and
// releases locks.
type caller struct {
	sim          *simulation
	name         string
	ownLock      string // the lock it uses if holder names are reused
	lockCount    int    // number of locks it has tried to acquire
	lock         string // the lock that it holds or may hold
	holder       string
	fencingToken uint64
	version      int
	config       call // the last known configuration
	cells        map[string]uint64
}

// scheduleNextCall makes the next call after a random delay.
func (p *caller) scheduleNextCall() {
	if !p.sim.isStopping {
		p.sim.schedule(p.sim.randomDuration(300*time.Millisecond), p.makeNextCall)
	}
}

// callCoordination sends a coordination command and schedules the next call after it.
func (p *caller) callCoordination(c coordination.Command, done func(x *call)) {
	x := &call{object: c.Name, command: registry.Command{Coordination: &c}}
	p.sim.callNode(p.sim.pickNode(), x, func() {
		done(x)
		p.scheduleNextCall()
	})
}

// makeNextCall makes a random call.
func (p *caller) makeNextCall() {
	sim, r := p.sim, p.sim.cluster.Rand
	cell := fmt.Sprintf("g%d.%d", r.Intn(2), r.Intn(3))
	p.version++
	value := fmt.Sprint(p.name, " ", p.version)
	choice := r.Intn(12)
	if sim.keepsHolderNames {
		choice = 11 // only locks
	}
	switch {
	case choice < 2:
		x := &call{object: registry.ConfigKey}
		sim.callNode(sim.pickNode(), x, func() {
			if x.outcome == answered {
				p.config = *x
			}
			p.scheduleNextCall()
		})
	case choice < 4:
		p.replaceConfig("configuration of some length that stays as it is, and of " + value)
	case choice < 6:
		x := &call{object: cell}
		sim.callNode(sim.pickNode(), x, func() {
			if x.outcome == answered {
				p.cells[cell] = x.revision
			}
			p.scheduleNextCall()
		})
	case choice < 8:
		p.putCell(coordination.Command{Operation: coordination.PutCell, Name: cell, Value: value, HasExpectedRevision: r.Intn(2) == 0, ExpectedRevision: p.cells[cell]})
	case choice < 9:
		p.callCoordination(coordination.Command{Operation: coordination.NextNumber, Name: fmt.Sprint("n", r.Intn(2))}, func(*call) {})
	default:
		p.useLock()
	}
}

// replaceConfig writes the configuration if it still has the revision that the caller knows,
// sometimes as a delta.
func (p *caller) replaceConfig(value string) {
	w := registry.Write{Key: registry.ConfigKey, Value: []byte(value)}
	if p.config.revision > 0 && p.config.value != "" && p.sim.cluster.Rand.Intn(2) == 0 {
		w.Value, w.IsDelta = registry.ComputeDelta([]byte(p.config.value), w.Value), true
	}
	x := &call{object: registry.ConfigKey, value: value, command: registry.Command{Txn: &registry.Txn{
		If: []registry.Compare{{Key: registry.ConfigKey, ModRevision: p.config.revision}}, Then: []registry.Write{w},
	}}}
	p.sim.callNode(p.sim.pickNode(), x, func() {
		switch {
		case x.outcome != answered:
		case !x.result.Conflict:
			p.config = call{revision: x.result.Revision, value: value}
		case len(x.result.Current) > 0:
			p.config = call{revision: x.result.Current[0].ModRevision}
		}
		p.scheduleNextCall()
	})
}

// putCell sends a put and retries it half of the time if its outcome is unknown.
func (p *caller) putCell(c coordination.Command) {
	p.sim.sendCounts[c.Value]++
	x := &call{object: c.Name, command: registry.Command{Coordination: &c}}
	p.sim.callNode(p.sim.pickNode(), x, func() {
		if x.outcome == unknown && p.sim.cluster.Rand.Intn(2) == 0 {
			p.putCell(c)
			return
		}
		if x.outcome == answered {
			p.cells[c.Name] = x.result.Latch.Revision
		}
		p.scheduleNextCall()
	})
}

// useLock acquires, renews, releases or abandons a lock. Each acquisition uses a new holder
// name unless the simulation reuses holder names, as an application does after a restart or
// a failed call.
func (p *caller) useLock() {
	r := p.sim.cluster.Rand
	if p.lock == "" {
		p.lockCount++
		p.lock, p.holder, p.fencingToken = fmt.Sprint("l", r.Intn(4)), fmt.Sprint(p.name, ".", p.lockCount), 0
	}
	if p.sim.keepsHolderNames {
		p.lock, p.holder = p.ownLock, p.name
	}
	l := coordination.Command{Name: p.lock, Holder: p.holder, FencingToken: p.fencingToken, LeaseMS: uint64(100 + r.Intn(maxLeaseMS-100))}
	if p.sim.keepsHolderNames {
		l.LeaseMS = longLeaseMS
	}
	switch choice := r.Intn(10); {
	case p.fencingToken == 0 || choice < 1:
		l.Operation, l.FencingToken = coordination.AcquireLock, 0
		p.callCoordination(l, func(x *call) {
			if x.outcome == answered && x.result.Latch.Code == coordination.OK {
				p.fencingToken = x.result.Latch.Fence
			} else if r.Intn(2) == 0 {
				p.lock = ""
			}
		})
	case choice < 6:
		l.Operation = coordination.RenewLock
		p.callCoordination(l, func(x *call) {
			if x.outcome == answered && x.result.Latch.Code == coordination.LockLost {
				p.lock = ""
			}
		})
	case choice < 8:
		p.lock = ""
		l.Operation = coordination.ReleaseLock
		p.callCoordination(l, func(*call) {})
	default:
		p.lock = ""
		p.scheduleNextCall()
	}
}
