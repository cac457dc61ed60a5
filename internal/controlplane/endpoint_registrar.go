package controlplane

import (
	"lichentray/internal/apierror"
	"lichentray/registry"
)

// heartbeat handles a heartbeat of an endpoint, see Node.Heartbeat.
func (h *healthMonitor) heartbeat(endpoint registry.Endpoint) error {
	h.metrics.heartbeats.Inc()
	hasLostContact := h.consensus.sinceLastContact() > h.timing.ConnectionTimeout
	// Only a registration from before this call can prove that the endpoint has restarted: a
	// retry may find the registration written by an earlier attempt of the same call.
	isFirstAttempt := true
	_, err := h.proposer.transact(func(r *replicatedState) (*registry.Txn, error) {
		mayBeRestart := isFirstAttempt
		isFirstAttempt = false
		departed, hasDeparted := r.store.Get(departedKey(endpoint.ID))
		registered := registry.DecodeDeparture(departed).RegisteredSequence
		if hasDeparted && !(mayBeRestart && registry.IsNewIncarnation(registered, endpoint.Sequence)) {
			return nil, nil // a late heartbeat of an endpoint that has deregistered
		}
		h.recordHeartbeat(endpoint.ID)
		object, isKnown := r.store.Get(endpoint.Key())
		// A node that has just started may not yet have the configuration that limits traffic to
		// the service's new endpoints, so every new endpoint is marked.
		endpoint.WarmingUp = endpoint.WarmUpSeconds > 0 && h.settings.Bounds.SlowStartOvershoot > 0
		if isKnown {
			return updateEndpoint(object, endpoint, hasLostContact, mayBeRestart)
		}
		txn := registerEndpoint(endpoint, departed)
		h.rollouts.addBaseVersion(r, txn, endpoint)
		return txn, nil
	})
	return err
}

// departedKey returns the key of an endpoint's departure marker, see registry.Departure.
func departedKey(id string) string { return registry.DepartedPrefix + id }

// registerEndpoint returns a transaction that registers an endpoint. departed is the marker of an
// earlier incarnation, which the transaction deletes, or the zero object if there is none.
func registerEndpoint(endpoint registry.Endpoint, departed registry.Object) *registry.Txn {
	txn := putIfUnchanged(endpoint.Key(), 0, endpoint.Encode())
	markerKey := departedKey(endpoint.ID)
	txn.If = append(txn.If, registry.Compare{Key: markerKey, ModRevision: departed.ModRevision})
	if departed.ModRevision != 0 {
		txn.Then = append(txn.Then, registry.Write{Key: markerKey, IsDelete: true})
	}
	return txn
}

// updateEndpoint returns the transaction for a heartbeat of a registered endpoint, or nil if
// nothing changes. Most heartbeats change nothing and only show that the endpoint is alive. The
// leader must learn of them, so a node that has lost contact rejects them. A draining endpoint
// never returns to use. If it restarts under the same ID, it is deleted and then registered by
// its next heartbeat; mayBeRestart reports whether this heartbeat can prove the restart.
func updateEndpoint(object registry.Object, heartbeat registry.Endpoint, hasLostContact, mayBeRestart bool) (*registry.Txn, error) {
	endpoint, err := registry.DecodeEndpoint(object)
	if err != nil {
		return nil, apierror.New(apierror.Internal, "%v", err)
	}
	if endpoint.Draining {
		if mayBeRestart && !heartbeat.Draining && registry.IsNewIncarnation(endpoint.FirstSequence(), heartbeat.Sequence) {
			return deleteIfUnchanged(object), nil
		}
		return nil, nil
	}
	isLate := heartbeat.Sequence < endpoint.Sequence
	changesWarmUp := heartbeat.WarmingUp != endpoint.WarmingUp && !isLate
	if !heartbeat.Draining && !changesWarmUp {
		if hasLostContact {
			return nil, apierror.New(apierror.Unavailable, "this node has lost contact with the group")
		}
		return nil, nil
	}
	endpoint.RegisteredSequence = endpoint.FirstSequence()
	endpoint.Draining = heartbeat.Draining
	endpoint.Sequence = heartbeat.Sequence
	endpoint.WarmingUp = heartbeat.WarmingUp
	return putIfUnchanged(object.Key, object.ModRevision, endpoint.Encode()), nil
}

// removeEndpoint returns a transaction that removes a crashed endpoint if it is unchanged since
// it was read. For a draining endpoint the transaction leaves a departure marker, because a
// heartbeat sent before the drain may still arrive.
func removeEndpoint(object registry.Object, endpoint registry.Endpoint) *registry.Txn {
	txn := deleteIfUnchanged(object)
	if endpoint.Draining {
		departure := registry.Departure{RegisteredSequence: endpoint.FirstSequence()}
		txn.Then = append(txn.Then, registry.Write{Key: departedKey(endpoint.ID), Value: departure.Encode()})
	}
	return txn
}

// deregister removes an endpoint permanently, see Node.Deregister.
func (h *healthMonitor) deregister(id string) error {
	key := registry.EndpointPrefix + id
	markerKey := departedKey(id)
	_, err := h.proposer.transact(func(r *replicatedState) (*registry.Txn, error) {
		if _, hasDeparted := r.store.Get(markerKey); hasDeparted {
			return nil, nil
		}
		object, isKnown := r.store.Get(key)
		var departure registry.Departure
		var deletions []registry.Write
		if isKnown {
			endpoint, err := registry.DecodeEndpoint(object)
			if err != nil {
				return nil, apierror.New(apierror.Internal, "%v", err)
			}
			departure.RegisteredSequence = endpoint.FirstSequence()
			deletions = []registry.Write{{Key: key, IsDelete: true}}
		}
		return &registry.Txn{
			If:   []registry.Compare{{Key: key, ModRevision: object.ModRevision}, {Key: markerKey}},
			Then: append(deletions, registry.Write{Key: markerKey, Value: departure.Encode()}),
		}, nil
	})
	return err
}
