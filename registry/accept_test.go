package registry_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"lichentray/registry"
)

// TestAcceptedOnce: operators send configurations at random, some under one number
// and some again, through nodes that lag by some commands, as a node does that is cut
// off. The plain model is who was first under each number: its content alone is ever
// acknowledged under it, always again when sent again, and the highest version holds.
func TestConfigVersionAcceptsOneContent(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		var log []registry.Command
		newest := registry.NewStore()
		lag := make([]*registry.Store, 3)
		at := make([]int, len(lag))
		for i := range lag {
			lag[i] = registry.NewStore()
		}
		catchUp := func(i, to int) {
			for ; at[i] < to; at[i]++ {
				lag[i].Apply(log[at[i]])
			}
		}
		// send gives whether the order was acknowledged or refused, through node i.
		send := func(i int, version uint64, text []byte) bool {
			for {
				txn, err := lag[i].BuildConfigTxn(version, text)
				if taken := new(registry.ConfigConflictError); errors.As(err, &taken) {
					if taken.Version != version || bytes.Equal(taken.AcceptedDigest, taken.ProposedDigest) {
						t.Fatalf("seed %d: refused with %v", seed, err)
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
				catchUp(i, len(log)) // what a read point does
			}
		}
		first := map[uint64]string{}
		highest := uint64(0)
		for step := range 300 {
			i := rng.Intn(len(lag))
			catchUp(i, at[i]+rng.Intn(len(log)-at[i]+1))
			if rng.Intn(40) == 0 { // it restarts from a snapshot
				data, err := lag[i].Snapshot()
				if err == nil {
					lag[i] = registry.NewStore()
					err = lag[i].Restore(data)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			version := uint64(1 + step/10 + rng.Intn(6))
			text := fmt.Sprintf(`{"config_version":%d,"by":%d}`, version, rng.Intn(2))
			ok := send(i, version, []byte(text))
			if first[version] == "" && ok {
				first[version] = text
			}
			if ok != (first[version] == text) {
				t.Fatalf("seed %d, step %d: %s acknowledged: %v; first under its number: %s", seed, step, text, ok, first[version])
			}
			highest = max(highest, version)
			o, _ := newest.Get(registry.ConfigKey)
			if held, text, _ := registry.DecodeConfig(o); held != highest || string(text) != first[highest] {
				t.Fatalf("seed %d, step %d: version %d holds, %s; the highest is %d, %s", seed, step, held, text, highest, first[highest])
			}
		}
	}
}
