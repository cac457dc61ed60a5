package controlplane

import (
	"time"

	"lichentray/internal/apierror"
	"lichentray/registry"
)

// zoneEvacuator carries out the orders to evacuate a zone and to return it to use, and
// completes returns while this node leads.
type zoneEvacuator struct {
	*environment
	state    *sharedState
	proposer *proposer
}

// zoneReturn is when the leader first saw a zone return, or last proposed that its
// return is complete, see loopState.
type zoneReturn struct {
	at       time.Duration
	revision uint64
}

// becomeLeader forgets what an earlier leadership knew.
func (z *zoneEvacuator) becomeLeader(state *loopState) { state.zoneReturns = map[string]zoneReturn{} }

// order carries out an order for a zone, see Node.Evacuate.
func (z *zoneEvacuator) order(zone string, begin bool, callerIsWaiting func() bool) error {
	if _, isKnown := z.settings.RegionByZone[zone]; !isKnown {
		return apierror.New(apierror.BadRequest, "of: zone %q is not known", zone)
	}
	// Whether there is anything to write is decided by a state that holds all that was
	// acknowledged before: a node that has just started knows of no evacuation.
	if err := z.proposer.readIndex(z.timing.RequestTimeout); err != nil {
		return err
	}
	key := registry.EvacuationPrefix + zone
	var next registry.Evacuation
	wrote, err := z.proposer.transact(func(r *replicatedState) (txn *registry.Txn, err error) {
		if !callerIsWaiting() {
			return nil, apierror.New(apierror.Unavailable, "the caller has gone on to another node")
		}
		next, txn = z.deriveOrder(r, key, begin)
		return txn, nil
	})
	if wrote {
		z.logger.Info("evacuation order acknowledged",
			"zone", zone, "begin", begin, "state", next.State(), "open", next.BeginCount-next.FinishCount)
	}
	if err == nil && next != next.Acknowledge(begin) {
		z.start(func() { z.recordAcknowledged(key, begin, next) })
	}
	return err
}

// deriveOrder returns the state of a zone after an order, and the transaction that
// writes it, nil if the order changes nothing.
func (z *zoneEvacuator) deriveOrder(r *replicatedState, key string, begin bool) (next registry.Evacuation, txn *registry.Txn) {
	ackTimeout := z.settings.Bounds.AckTimeout.Duration()
	window := registry.RepeatWindow{Acknowledged: ackTimeout / 5, Unacknowledged: ackTimeout}
	object, _ := r.store.Get(key)
	current := registry.DecodeEvacuation(object)
	orderedAt := r.evacuationOrderedAt[evacuationOrder{key: key, isBegin: begin}]
	next = current.ApplyRequest(begin, z.now()-orderedAt, window)
	if next == current {
		return next, nil
	}
	return next, putIfUnchanged(key, object.ModRevision, next.Encode())
}

// recordAcknowledged records, some time after this node answered an order, that it is
// still alive: its answer most likely arrived, so that a further order of the kind is
// hardly a repeat. It is attempted once: without the record, orders count as repeats
// for longer (registry.RepeatWindow).
func (z *zoneEvacuator) recordAcknowledged(key string, begin bool, order registry.Evacuation) {
	select {
	case <-time.After(z.timing.HeartbeatInterval):
	case <-z.ctx.Done():
		return
	}
	_, _ = z.proposer.transact(func(r *replicatedState) (*registry.Txn, error) {
		object, _ := r.store.Get(key)
		current := registry.DecodeEvacuation(object)
		next := current.Acknowledge(begin)
		if current == next || current.BeginCount != order.BeginCount || current.FinishCount != order.FinishCount {
			return nil, nil
		}
		return putIfUnchanged(key, object.ModRevision, next.Encode()), nil
	})
}

// list returns the zones that are not in ordinary use, see Node.Evacuations.
func (z *zoneEvacuator) list() (states map[string]string, err error) {
	if err := z.proposer.readIndex(z.timing.RequestTimeout); err != nil {
		return nil, err
	}
	z.state.view(func(r *replicatedState) { states = r.zoneStates() })
	return states, nil
}

// finishReturns returns zones to ordinary use once the heartbeats of their endpoints
// have had the time to show which of them warm up.
func (z *zoneEvacuator) finishReturns(state *loopState, now time.Duration) {
	wait := 2*z.settings.HeartbeatInterval.Duration() + z.timing.ConnectionTimeout
	for _, object := range z.state.onLoop(state).store.List(registry.EvacuationPrefix) {
		if registry.DecodeEvacuation(object).State() != registry.Returning {
			delete(state.zoneReturns, object.Key)
			continue
		}
		since, isKnown := state.zoneReturns[object.Key]
		if !isKnown || since.revision != object.ModRevision {
			state.zoneReturns[object.Key] = zoneReturn{at: now, revision: object.ModRevision}
			continue
		}
		if now-since.at > wait {
			state.proposeWithoutWaiting(registry.Command{Txn: deleteIfUnchanged(object)})
			// If the proposal takes no effect, it is repeated after another wait.
			state.zoneReturns[object.Key] = zoneReturn{at: now, revision: object.ModRevision}
		}
	}
}
