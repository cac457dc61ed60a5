package registry_test

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"lichentray/coordination"
	"lichentray/raft/rafttest"
	"lichentray/registry"
)

// TestStoreMatchesMapModel guards against partially applied transactions and wrong
// revisions. It compares the store with a map that is copied for every transaction.
func TestStoreMatchesMapModel(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		s := registry.NewStore()
		model := map[string]registry.Object{}
		revision := uint64(0)
		for step := range 500 {
			txn := &registry.Txn{}
			for range r.Intn(3) {
				k := fmt.Sprint("k", r.Intn(5))
				txn.If = append(txn.If, registry.Compare{Key: k, ModRevision: []uint64{0, model[k].ModRevision, uint64(r.Intn(20))}[r.Intn(3)]})
			}
			used := map[string]bool{}
			for range 1 + r.Intn(2) {
				k := fmt.Sprint("k", r.Intn(5))
				if !used[k] {
					used[k] = true
					txn.Then = append(txn.Then, registry.Write{Key: k, Value: []byte(fmt.Sprint(step)), IsDelete: r.Intn(3) == 0})
				}
			}
			ok := true
			for _, c := range txn.If {
				ok = ok && model[c.Key].ModRevision == c.ModRevision
			}
			want := 0
			if ok {
				revision++
				next := map[string]registry.Object{}
				for k, o := range model {
					next[k] = o
				}
				for _, w := range txn.Then {
					old, exists := model[w.Key]
					switch {
					case w.IsDelete && exists:
						delete(next, w.Key)
						want++
					case !w.IsDelete:
						o := registry.Object{Key: w.Key, Value: w.Value, CreateRevision: revision, ModRevision: revision}
						if exists {
							o.CreateRevision = old.CreateRevision
						}
						next[w.Key] = o
						want++
					}
				}
				model = next
			}
			cmd, err := registry.DecodeCommand(registry.EncodeCommand(registry.Command{Txn: txn}))
			if err != nil {
				t.Fatal(err)
			}
			res, events := s.Apply(cmd)
			if res.Conflict == ok || res.Revision != revision || len(events) != want {
				t.Fatalf("seed %d, step %d: Apply = %+v with %d events; want success %v at revision %d with %d events", seed, step, res, len(events), ok, revision, want)
			}
			if step%97 == 0 {
				data, err := s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				s = registry.NewStore()
				if err := s.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			for k := range used {
				got, exists := s.Get(k)
				if w, ok := model[k]; exists != ok || (ok && !reflect.DeepEqual(got, w)) {
					t.Fatalf("seed %d, step %d: Get(%q) = %+v, want %+v", seed, step, k, got, w)
				}
			}
		}
	}
}

func FuzzDecodeCommand(f *testing.F) {
	f.Add(registry.EncodeCommand(registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "v", HasExpectedRevision: true, ExpectedRevision: 3}}))
	f.Add(registry.EncodeCommand(registry.Command{Txn: &registry.Txn{If: []registry.Compare{{Key: "a", ModRevision: 7}}, Then: []registry.Write{{Key: "b", Value: []byte("x")}}}}))
	f.Add([]byte{1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Add([]byte{2})
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := registry.DecodeCommand(b)
		if err != nil {
			return
		}
		again, err := registry.DecodeCommand(registry.EncodeCommand(c))
		if err != nil || !reflect.DeepEqual(formatCommand(c), formatCommand(again)) {
			t.Fatalf("command %+v was decoded as %+v, %v after encoding", c, again, err)
		}
	})
}

func formatCommand(c registry.Command) string { return fmt.Sprintf("%+v %+v", c.Txn, c.Coordination) }

// simulatedStore is the state machine of a simulated node: a store with its lease timers.
type simulatedStore struct {
	store  *registry.Store
	clock  func() time.Duration
	leases coordination.LeaseTimers
}

func newSimulatedStore(clock func() time.Duration) *simulatedStore {
	s := &simulatedStore{store: registry.NewStore(), clock: clock}
	s.leases.Restart(clock(), nil)
	return s
}

func (s *simulatedStore) Apply(index uint64, data []byte) any {
	c, err := registry.DecodeCommand(data)
	if err != nil {
		return nil
	}
	res, _ := s.store.Apply(c)
	if l := c.Coordination; l != nil {
		s.leases.Update(s.clock(), index, l, res.Latch, s.store.Coordination().Locks)
	}
	return res
}
func (s *simulatedStore) Snapshot() []byte { b, _ := s.store.Snapshot(); return b }
func (s *simulatedStore) Restore(b []byte) {
	_ = s.store.Restore(b)
	s.leases.Restart(s.clock(), s.store.Coordination().Locks)
}

// TestCoordinationIsLinearizable guards against stale reads, reused sequence numbers or
// fencing tokens, and locks with two holders while faults are injected. It checks each
// answer against the answers that were given before the call was sent.
func TestCoordinationIsLinearizable(t *testing.T) {
	for seed := int64(1); seed <= 25; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runHistory(t, seed) })
	}
}

// injectFault injects one of several faults at a node, heals the cluster or does nothing,
// depending on a random number below draws.
func injectFault(c *rafttest.Cluster, id uint64, draws int) {
	switch c.Rand.Intn(draws) {
	case 0:
		for _, o := range c.IDs() {
			c.SetLinkCut(id, o, true)
			c.SetLinkCut(o, id, c.Rand.Intn(2) == 0)
		}
	case 1, 2:
		c.Heal()
	case 3:
		c.Crash(id)
		c.Restart(id)
	case 4:
		c.SetFrozen(id, true)
	case 5:
		c.HangDisk(id, 300*time.Millisecond)
	}
}

func runHistory(t *testing.T, seed int64) {
	var c *rafttest.Cluster
	c = rafttest.NewCluster(seed, 3, func() rafttest.StateMachine {
		return newSimulatedStore(func() time.Duration {
			if c == nil {
				return 0
			}
			return c.Now
		})
	})
	c.Run(time.Second)
	var highestNumber, highestToken uint64 // in the answers so far
	ackedRevision := map[string]uint64{}   // newest acknowledged revision by key
	valueAt := map[string]string{}         // value by group/revision
	type holding struct {
		holder    string
		token     uint64
		expiresAt time.Duration
	}
	holders := map[string]holding{}
	holderByToken := map[uint64]string{}
	propose := func(cmd *coordination.Command, done func(coordination.Result)) {
		for _, id := range c.IDs() { // any node that considers itself the leader
			n := c.Nodes[id]
			if !c.IsUp(id) || n.Raft.Role().String() != "leader" || c.Rand.Intn(3) == 0 {
				continue
			}
			state := n.StateMachine.(*simulatedStore)
			prepared, _ := state.leases.Prepare(c.Now, cmd, state.store.Coordination().Locks)
			c.Propose(id, registry.EncodeCommand(registry.Command{Coordination: prepared}), func(res any, ok bool) {
				if r, isResult := res.(registry.Result); ok && isResult {
					done(r.Latch)
				}
			})
			return
		}
	}
	for round := range 250 {
		id := c.IDs()[c.Rand.Intn(3)]
		injectFault(c, id, 8)
		for k := range 4 {
			sentAt := c.Now
			key := fmt.Sprintf("g.%d", c.Rand.Intn(3))
			switch c.Rand.Intn(4) {
			case 0:
				floor := highestNumber
				propose(&coordination.Command{Operation: coordination.NextNumber, Name: "n"}, func(r coordination.Result) {
					if r.Value <= floor {
						t.Errorf("NextNumber returned %d although %d was returned before the call", r.Value, floor)
					}
					highestNumber = max(highestNumber, r.Value)
				})
			case 1:
				who := fmt.Sprint("h", c.Rand.Intn(4))
				floor := highestToken
				propose(&coordination.Command{Operation: coordination.AcquireLock, Name: "l", Holder: who, LeaseMS: 200}, func(r coordination.Result) {
					if r.Code != coordination.OK {
						return
					}
					expiresAt := sentAt + 200*time.Millisecond
					// A former leader may report a grant late. There are two holders only if
					// that grant is not older than the current one or its lease has not expired.
					h := holders["l"]
					isLateAnswer := r.Fence < h.token && expiresAt <= c.Now
					if h.holder != who && h.holder != "" && c.Now < h.expiresAt && !isLateAnswer {
						t.Errorf("%s holds the lock until %v, but %s acquired it at %v", h.holder, h.expiresAt, who, c.Now)
					} else if o, given := holderByToken[r.Fence]; (given && o != who) || (!given && r.Fence <= floor) {
						t.Errorf("fencing token %d does not exceed %d or was issued to another holder", r.Fence, floor)
					}
					holderByToken[r.Fence] = who
					highestToken = max(highestToken, r.Fence)
					if expiresAt > c.Now {
						holders["l"] = holding{who, r.Fence, expiresAt}
					}
				})
			case 2:
				v := fmt.Sprint(round, "-", k)
				floor := ackedRevision[key]
				propose(&coordination.Command{Operation: coordination.PutCell, Name: key, Value: v}, func(r coordination.Result) {
					if r.Revision <= floor {
						t.Errorf("put returned revision %d, want more than %d", r.Revision, floor)
					}
					at := fmt.Sprint("g/", r.Revision)
					if previous, ok := valueAt[at]; ok && previous != v {
						t.Errorf("revision %d was assigned to two values", r.Revision)
					}
					valueAt[at] = v
					ackedRevision[key] = max(ackedRevision[key], r.Revision)
				})
			case 3:
				floor := ackedRevision[key]
				n := c.Nodes[id]
				c.Read(id, func(ok bool) {
					if cell := n.StateMachine.(*simulatedStore).store.Coordination().Cells[key]; ok && cell.Revision < floor {
						t.Errorf("read of %s returned revision %d, although revision %d was acknowledged before", key, cell.Revision, floor)
					}
				})
			}
			c.Run(time.Duration(5+c.Rand.Intn(40)) * time.Millisecond)
		}
		if c.Violation != "" {
			t.Fatal(c.Violation)
		}
	}
	if highestNumber == 0 || highestToken == 0 || len(ackedRevision) == 0 {
		t.Errorf("calls of some kind were never answered: highest number %d, highest fencing token %d, acknowledged puts %v", highestNumber, highestToken, ackedRevision)
	}
}

func Example() {
	s := registry.NewStore()
	put := func(mod uint64, v string) registry.Result {
		r, _ := s.Apply(registry.Command{Txn: &registry.Txn{
			If:   []registry.Compare{{Key: "endpoints/a", ModRevision: mod}},
			Then: []registry.Write{{Key: "endpoints/a", Value: []byte(v)}},
		}})
		return r
	}
	fmt.Println(put(0, "ready").Revision, put(0, "again").Conflict, put(1, "draining").Revision)
	// Output: 1 true 2
}
