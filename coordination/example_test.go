package coordination

import "fmt"

func ExampleTable() {
	t := NewTable()
	a := t.Apply(1, Command{Operation: AcquireLock, Name: "job", Holder: "worker-a", LeaseMS: 3000})
	b := t.Apply(2, Command{Operation: AcquireLock, Name: "job", Holder: "worker-b", LeaseMS: 3000})
	// The lease of worker-a has expired by the proposer's timer, so the command names its grant.
	c := t.Apply(3, Command{Operation: AcquireLock, Name: "job", Holder: "worker-b", LeaseMS: 3000, ExpiredToken: a.Fence, ExpiredGrant: a.Grant})
	fmt.Println(a.Fence, b.Code == LockHeld, c.Fence)
	// Output: 1 true 3
}

// Example_election implements leader election with a lock and a cell. The holder of the lock
// is the leader and writes its name and fencing token to the cell. The other candidates watch
// the cell's group and so learn the leader and the token that supersedes earlier ones.
func Example_election() {
	t := NewTable()
	campaign := func(revision uint64, candidate string, expired Result) Result {
		r := t.Apply(revision, Command{Operation: AcquireLock, Name: "scheduler", Holder: candidate, LeaseMS: 3000, ExpiredToken: expired.Fence, ExpiredGrant: expired.Grant})
		if r.Code == OK {
			t.Apply(revision+1, Command{Operation: PutCell, Name: "scheduler.leader", Value: fmt.Sprintf("%s, token %d", candidate, r.Fence)})
		}
		return r
	}
	first := campaign(1, "node-a", Result{})
	campaign(3, "node-b", Result{}) // the lock is held, so node-b does not lead
	campaign(5, "node-b", first)    // the lease of node-a has expired
	events, _, _ := t.EventsSince("scheduler.", 0)
	for _, e := range events {
		fmt.Println(e.Revision, e.Value)
	}
	// The renewal by node-a comes too late.
	fmt.Println(t.Apply(7, Command{Operation: RenewLock, Name: "scheduler", Holder: "node-a", FencingToken: first.Fence, LeaseMS: 3000}).Code == LockLost)
	// Output:
	// 1 node-a, token 1
	// 2 node-b, token 5
	// true
}
