package registry_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"lichentray/registry"
)

// TestConfigVersionAcceptsOneContent guards against two contents that are acknowledged
// under one version. Configurations are submitted at random, some with the same version and
// some repeatedly, through replicas that are behind, as after a partition. Only the first
// content of a version may be acknowledged, each time that it is submitted, and the highest
// version must be active.
func TestConfigVersionAcceptsOneContent(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		var log []registry.Command
		newest := registry.NewStore()
		replicas := make([]*registry.Store, 3)
		applied := make([]int, len(replicas))
		for i := range replicas {
			replicas[i] = registry.NewStore()
		}
		catchUp := func(i, to int) {
			for ; applied[i] < to; applied[i]++ {
				replicas[i].Apply(log[applied[i]])
			}
		}
		// submit reports whether the configuration is acknowledged through replica i.
		submit := func(i int, version uint64, text []byte) bool {
			for {
				txn, err := replicas[i].BuildConfigTxn(version, text)
				if conflict := new(registry.ConfigConflictError); errors.As(err, &conflict) {
					if conflict.Version != version || bytes.Equal(conflict.AcceptedDigest, conflict.ProposedDigest) {
						t.Fatalf("seed %d: BuildConfigTxn returned the wrong conflict: %v", seed, err)
					}
					return false
				}
				if txn == nil {
					return true
				}
				cmd := registry.Command{Txn: txn}
				log = append(log, cmd)
				r, _ := newest.Apply(cmd)
				if !r.Conflict {
					return true
				}
				catchUp(i, len(log)) // stands for a linearizable read
			}
		}
		first := map[uint64]string{}
		highest := uint64(0)
		for step := range 300 {
			i := rng.Intn(len(replicas))
			catchUp(i, applied[i]+rng.Intn(len(log)-applied[i]+1))
			if rng.Intn(40) == 0 { // the replica restarts from a snapshot
				data, err := replicas[i].Snapshot()
				if err == nil {
					replicas[i] = registry.NewStore()
					err = replicas[i].Restore(data)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			version := uint64(1 + step/10 + rng.Intn(6))
			text := fmt.Sprintf(`{"config_version":%d,"by":%d}`, version, rng.Intn(2))
			ok := submit(i, version, []byte(text))
			if first[version] == "" && ok {
				first[version] = text
			}
			if ok != (first[version] == text) {
				t.Fatalf("seed %d, step %d: submission of %s was acknowledged: %v; first content of its version: %s", seed, step, text, ok, first[version])
			}
			highest = max(highest, version)
			o, _ := newest.Get(registry.ConfigKey)
			if current, text, _ := registry.DecodeConfig(o); current != highest || string(text) != first[highest] {
				t.Fatalf("seed %d, step %d: active configuration is version %d, %s; want version %d, %s", seed, step, current, text, highest, first[highest])
			}
		}
	}
}
