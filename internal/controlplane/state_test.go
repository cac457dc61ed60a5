package controlplane

import (
	"math/rand"
	"reflect"
	"testing"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/settings"
	"lichentray/registry"
	"lichentray/rollout"
)

// newTestState returns an empty state with a memory limit of 100 MB.
func newTestState(t *testing.T) *sharedState {
	t.Helper()
	env := newTestEnvironment(t)
	env.settings = &settings.Settings{Limits: settings.Limits{MemoryMB: 100}}
	env.timing.WatchWindow = time.Minute
	return newSharedState(env)
}

// putObject applies an unconditional write, or a deletion if the value is nil.
func putObject(s *sharedState, key string, value []byte) {
	write := registry.Write{Key: key, Value: value, IsDelete: value == nil}
	s.applyCommand(0, registry.Command{Txn: &registry.Txn{Then: []registry.Write{write}}})
}

// TestDecodedObjectsFollowTheStore guards against decoded objects that diverge from the store:
// applying events one at a time must give the same result as decoding the final store at once.
func TestDecodedObjectsFollowTheStore(t *testing.T) {
	for seed := range int64(50) {
		r := rand.New(rand.NewSource(seed))
		s := newTestState(t)
		for range 60 {
			name := string(rune('a' + r.Intn(4)))
			endpoint := registry.Endpoint{ID: name, Service: "s", Draining: r.Intn(2) == 0}
			proxy := registry.Proxy{Name: name, Zone: "z", Weight: float64(r.Intn(9))}
			versions := rollout.Rollout{Base: name, OrderNumber: uint64(r.Intn(9))}
			key, value := endpoint.Key(), endpoint.Encode()
			switch r.Intn(3) {
			case 0:
				key, value = proxy.Key(), proxy.Encode()
			case 1:
				key, value = registry.RolloutPrefix+name, versions.Encode()
			}
			if r.Intn(3) == 0 {
				value = nil
			}
			putObject(s, key, value)
		}
		incremental := s.replicated
		atOnce := replicatedState{env: incremental.env, store: incremental.store, decodedObjects: newDecodedObjects()}
		atOnce.rebuild()
		if !reflect.DeepEqual(atOnce.endpoints, incremental.endpoints) || !reflect.DeepEqual(atOnce.proxies, incremental.proxies) {
			t.Fatalf("seed %d: endpoints %+v, proxies %+v; want %+v and %+v", seed,
				incremental.endpoints, incremental.proxies, atOnce.endpoints, atOnce.proxies)
		}
		if len(atOnce.rollouts) != len(incremental.rollouts) {
			t.Fatalf("seed %d: %d rollouts, want %d", seed, len(incremental.rollouts), len(atOnce.rollouts))
		}
		for key, record := range atOnce.rollouts {
			if got := incremental.rollouts[key]; got == nil || got.Rollout != record.Rollout || got.revision != record.revision {
				t.Fatalf("seed %d: rollout %s = %+v, want %+v", seed, key, got, record)
			}
		}
	}
}

// TestWatchedRevision guards against encoding the list for proxies again when nothing in it has
// changed: only a change of an object that proxies watch may change watchedRevision.
func TestWatchedRevision(t *testing.T) {
	s := newTestState(t)
	endpoint := registry.Endpoint{ID: "e", Service: "s"}
	putObject(s, endpoint.Key(), endpoint.Encode())
	watched := s.replicated.watchedRevision
	if watched != s.revision() {
		t.Errorf("after an endpoint write: watchedRevision = %d at revision %d", watched, s.revision())
	}
	proxy := registry.Proxy{Name: "p"}
	putObject(s, proxy.Key(), proxy.Encode())
	if got := s.replicated.watchedRevision; got != watched || s.revision() == watched {
		t.Errorf("after a proxy write: watchedRevision = %d at revision %d", got, s.revision())
	}
}

func TestWaitApplied(t *testing.T) {
	s := newTestState(t)
	if err := s.waitApplied(5, time.Millisecond); apierror.KindOf(err) != apierror.Unavailable {
		t.Errorf("waitApplied(index not reached) = %v, want kind Unavailable", err)
	}
	if len(s.applyWaiters) != 0 {
		t.Errorf("%d waiters left, want 0", len(s.applyWaiters))
	}
	applied := make(chan error, 1)
	go func() { applied <- s.waitApplied(5, time.Minute) }()
	s.setAppliedIndex(4)
	s.setAppliedIndex(5)
	if err := <-applied; err != nil {
		t.Errorf("waitApplied(index reached later) = %v", err)
	}
	if err := s.waitApplied(5, 0); err != nil {
		t.Errorf("waitApplied(index reached before) = %v", err)
	}
}
