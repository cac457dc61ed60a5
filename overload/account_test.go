package overload

import (
	"math/rand"
	"slices"
	"testing"
	"time"
)

// TestDivideLeavesDescriptors checks that the listeners of each program leave descriptors for
// everything else.
func TestDivideLeavesDescriptors(t *testing.T) {
	programs := map[string][]Listener{
		"proxy": {Frontend, Readiness, Upstream},
		"core":  {ControlPlane, Directory, Internal},
		"relay": {ControlPlane, Internal, Upstream},
	}
	for _, files := range []int{1000, 4100} {
		limits := Divide(96<<20, files)
		for name, listeners := range programs {
			sum := 0
			for _, l := range listeners {
				sum += limits.Connections[l]
			}
			if sum == 0 || sum >= files-otherFiles {
				t.Errorf("%s with %d files: listeners may use %d", name, files, sum)
			}
		}
	}
}

// testLimits are limits that a few connections reach. Of the bytes, 12 can be reserved.
var testLimits = Limits{Bytes: 16, Connections: map[Listener]int{Frontend: 4}}

// TestCostliestGivesWay checks which connection is evicted for a reservation.
func TestCostliestGivesWay(t *testing.T) {
	second := time.Second
	tests := []struct {
		name string
		// states and bytes describe connections that were opened one second apart.
		states []State
		bytes  []int64
		want   int // index of the evicted connection; -1 for none
	}{
		{"the one that has held the most for the longest", []State{Receiving, Receiving, Receiving}, []int64{1, 5, 1}, 1},
		{"the older of two alike", []State{Receiving, Receiving}, []int64{4, 4}, 0},
		{"an idle one", []State{Processing, Idle}, []int64{7, 0}, 1},
		{"one that does not read", []State{Responding, Receiving}, []int64{6, 1}, 0},
		{"none that is processed", []State{Processing, Processing}, []int64{4, 4}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := NewAccount(testLimits)
			var holders []*Holder
			now := time.Duration(0)
			for i, state := range test.states {
				h, _ := a.Open(now, Frontend, 1)
				if ok, _, _ := a.Reserve(now, h, test.bytes[i]); !ok {
					t.Fatalf("reservation %d does not fit", i)
				}
				a.SetState(now, h, state)
				holders = append(holders, h)
				now += second
			}
			newcomer, _ := a.Open(now, Frontend, 1)
			a.SetState(now, newcomer, Receiving)
			isReserved, isRejected, evicted := a.Reserve(now, newcomer, testLimits.Reservable()-a.Reserved()+1)
			if isReserved || isRejected {
				t.Fatalf("Reserve() = %v, %v, want neither", isReserved, isRejected)
			}
			var want []*Holder
			if test.want >= 0 {
				want = []*Holder{holders[test.want]}
			}
			if !slices.Equal(evicted, want) {
				t.Errorf("evicted %v, want %v", evicted, want)
			}
		})
	}
}

// TestCostliestIsRejectedItself checks that a connection that holds the most cannot evict others.
func TestCostliestIsRejectedItself(t *testing.T) {
	a := NewAccount(testLimits)
	old, _ := a.Open(0, Frontend, 1)
	a.SetState(0, old, Receiving)
	a.Reserve(0, old, 6)
	newcomer, _ := a.Open(time.Second, Frontend, 1)
	a.SetState(time.Second, newcomer, Receiving)
	a.Reserve(time.Second, newcomer, 2)
	_, isRejected, evicted := a.Reserve(2*time.Second, old, 3)
	if !isRejected || len(evicted) > 0 || newcomer.IsEvicted() || !old.IsEvicted() {
		t.Errorf("rejected %v, evicted %v; want the costliest alone", isRejected, evicted)
	}
	if a.SetState(2*time.Second, old, Processing) {
		t.Error("an evicted connection was allowed to pass its request on")
	}
}

// TestListenerLimit checks that a listener at its limit evicts its own longest idle connection.
func TestListenerLimit(t *testing.T) {
	a := NewAccount(testLimits)
	other, _ := a.Open(0, Readiness, 0)
	var holders []*Holder
	for i := range 4 {
		h, evicted := a.Open(time.Duration(i+1)*time.Second, Frontend, 1)
		if len(evicted) > 0 {
			t.Fatalf("connection %d evicts another", i)
		}
		holders = append(holders, h)
	}
	a.SetState(5*time.Second, holders[0], Processing)
	_, evicted := a.Open(6*time.Second, Frontend, 1)
	if len(evicted) != 1 || evicted[0] != holders[1] || other.IsEvicted() {
		t.Errorf("evicted %v, want the longest idle of the listener", evicted)
	}
}

// TestConnectionsFitBesideRequestsInProcess checks that requests in process leave room for new
// connections, and that connections of the platform and of other nodes never give way for memory.
func TestConnectionsFitBesideRequestsInProcess(t *testing.T) {
	a := NewAccount(testLimits)
	busy, _ := a.Open(0, Frontend, 1)
	a.SetState(0, busy, Processing)
	for {
		if isReserved, _, _ := a.Reserve(0, busy, 1); !isReserved {
			break
		}
	}
	newcomer, evicted := a.Open(0, Frontend, 1)
	if len(evicted) > 0 {
		t.Error("a connection beside requests in process was evicted")
	}
	a.SetState(0, newcomer, Processing)
	a.Force(0, busy, testLimits.Bytes)
	for _, listener := range []Listener{Readiness, Internal} {
		if _, evicted := a.Open(0, listener, 1); len(evicted) > 0 {
			t.Errorf("a connection of %s was evicted for memory", listener)
		}
	}
	if _, evicted := a.Open(0, Frontend, 1); len(evicted) != 1 {
		t.Errorf("%d connections evicted, want only the new one of the frontend", len(evicted))
	}
}

// TestAccountBalances checks on random histories that the sums are those of the open connections,
// that the limit holds but for forced reservations, and that nothing in process is evicted.
func TestAccountBalances(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		a := NewAccount(testLimits)
		var open []*Holder
		for step := range 400 {
			now := time.Duration(step) * time.Millisecond
			if len(open) == 0 || random.Intn(5) == 0 {
				h, _ := a.Open(now, Frontend, int64(random.Intn(2)))
				open = append(open, h)
			}
			i := random.Intn(len(open))
			h := open[i]
			switch random.Intn(5) {
			case 0:
				a.SetState(now, h, State(random.Intn(4)))
			case 1, 2:
				before := a.Reserved()
				n := int64(random.Intn(5))
				if ok, _, _ := a.Reserve(now, h, n); ok && before+n > testLimits.Reservable() {
					t.Fatalf("seed %d: %d bytes reserved", seed, a.Reserved())
				}
			case 3:
				if n := h.bytes - h.base; n > 0 {
					a.Release(now, h, n)
				}
			case 4:
				a.Close(h)
				open = append(open[:i], open[i+1:]...)
			}
			checkSums(t, seed, a)
		}
	}
}

// checkSums compares the sums of an account with its connections.
func checkSums(t *testing.T, seed int64, a *Account) {
	t.Helper()
	var reserved, reclaiming int64
	connections := 0
	for h := range a.holders {
		reserved += h.bytes
		if h.isEvicted {
			reclaiming += h.bytes
			if h.state == Processing {
				t.Fatalf("seed %d: a connection in process was evicted", seed)
			}
		} else {
			connections++
		}
	}
	if reserved != a.reserved || reclaiming != a.reclaiming || connections != a.connections[Frontend] {
		t.Fatalf("seed %d: sums %d, %d, %d; want %d, %d, %d", seed, a.reserved, a.reclaiming, a.connections[Frontend], reserved, reclaiming, connections)
	}
}
