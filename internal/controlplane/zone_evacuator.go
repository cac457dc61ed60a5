package controlplane

import (
	"time"

	"lichentray/internal/apierror"
	"lichentray/registry"
)

// zoneEvacuator handles the requests to begin and to finish the evacuation of a zone, and
// completes returns while this node is the leader.
type zoneEvacuator struct {
	*environment
	state    *sharedState
	proposer *proposer
}

// zoneReturn records when the leader first observed that a zone is returning, or last proposed to
// complete the return, see loopState.
type zoneReturn struct {
	at       time.Duration
	revision uint64
}

// becomeLeader discards the state of an earlier term of this node as leader.
func (z *zoneEvacuator) becomeLeader(state *loopState) { state.zoneReturns = map[string]zoneReturn{} }

// submitRequest handles a request for a zone, see Node.Evacuate.
func (z *zoneEvacuator) submitRequest(zone string, begin bool, callerIsWaiting func() bool) error {
	if _, isKnown := z.settings.RegionByZone[zone]; !isKnown {
		return apierror.New(apierror.BadRequest, "of: zone %q is not known", zone)
	}
	// Whether the request changes anything must be decided on a state that reflects everything
	// acknowledged before: a node that has just started knows of no evacuations.
	if err := z.proposer.readIndex(z.timing.RequestTimeout); err != nil {
		return err
	}
	key := registry.EvacuationPrefix + zone
	var next registry.Evacuation
	wrote, err := z.proposer.transact(func(r *replicatedState) (txn *registry.Txn, err error) {
		if !callerIsWaiting() {
			return nil, apierror.New(apierror.Unavailable, "the caller has gone on to another node")
		}
		next, txn = z.buildRequestTxn(r, key, begin)
		return txn, nil
	})
	if wrote {
		z.logger.Info("evacuation request acknowledged",
			"zone", zone, "begin", begin, "state", next.State(), "open", next.BeginCount-next.FinishCount)
	}
	if err == nil && next != next.Acknowledge(begin) {
		z.start(func() { z.recordAcknowledged(key, begin, next) })
	}
	return err
}

// buildRequestTxn returns the state of a zone after a request and the transaction that writes it.
// The transaction is nil if the request changes nothing.
func (z *zoneEvacuator) buildRequestTxn(r *replicatedState, key string, begin bool) (next registry.Evacuation, txn *registry.Txn) {
	ackTimeout := z.settings.Bounds.AckTimeout.Duration()
	window := registry.RepeatWindow{Acknowledged: ackTimeout / 5, Unacknowledged: ackTimeout}
	object, _ := r.store.Get(key)
	current := registry.DecodeEvacuation(object)
	appliedAt := r.lastEvacuationRequestAt[evacuationRequest{key: key, isBegin: begin}]
	next = current.ApplyRequest(begin, z.now()-appliedAt, window)
	if next == current {
		return next, nil
	}
	return next, putIfUnchanged(key, object.ModRevision, next.Encode())
}

// recordAcknowledged records, some time after this node acknowledged a request, that the node is
// still running. The acknowledgement has then most likely arrived, so a further request of the
// same kind is unlikely to be a repeat. acknowledged is the state of the zone after the request.
// The record is attempted only once: without it, requests count as repeats for longer
// (registry.RepeatWindow).
func (z *zoneEvacuator) recordAcknowledged(key string, begin bool, acknowledged registry.Evacuation) {
	select {
	case <-time.After(z.timing.HeartbeatInterval):
	case <-z.ctx.Done():
		return
	}
	_, _ = z.proposer.transact(func(r *replicatedState) (*registry.Txn, error) {
		object, _ := r.store.Get(key)
		current := registry.DecodeEvacuation(object)
		next := current.Acknowledge(begin)
		if current == next || current.BeginCount != acknowledged.BeginCount || current.FinishCount != acknowledged.FinishCount {
			return nil, nil
		}
		return putIfUnchanged(key, object.ModRevision, next.Encode()), nil
	})
}

// list returns the zones that are not in normal use, see Node.Evacuations.
func (z *zoneEvacuator) list() (states map[string]string, err error) {
	if err := z.proposer.readIndex(z.timing.RequestTimeout); err != nil {
		return nil, err
	}
	z.state.view(func(r *replicatedState) { states = r.zoneStates() })
	return states, nil
}

// finishReturns returns zones to normal use after enough time for the heartbeats of their
// endpoints to show which of them are warming up.
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
