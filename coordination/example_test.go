package coordination

import "fmt"

func ExampleTable() {
	t := NewTable()
	a := t.Apply(1, Command{Operation: AcquireLock, Name: "press", Holder: "ann", LeaseMS: 3000})
	b := t.Apply(2, Command{Operation: AcquireLock, Name: "press", Holder: "bo", LeaseMS: 3000})
	// Ann's lease has run out by the timer of the proposer, which names her grant.
	c := t.Apply(3, Command{Operation: AcquireLock, Name: "press", Holder: "bo", LeaseMS: 3000, ExpiredToken: a.Fence, ExpiredGrant: a.Grant})
	fmt.Println(a.Fence, b.Code == LockHeld, c.Fence)
	// Output: 1 true 3
}

// Example_election elects a leader by a lock and a cell. Whoever acquires the lock leads
// and puts its name and fencing token into the cell; the others watch the cell's group,
// and so know who leads and which token supersedes those of earlier leaders.
func Example_election() {
	t := NewTable()
	lead := func(at uint64, who string, expired Result) Result {
		r := t.Apply(at, Command{Operation: AcquireLock, Name: "halls", Holder: who, LeaseMS: 3000, ExpiredToken: expired.Fence, ExpiredGrant: expired.Grant})
		if r.Code == OK {
			t.Apply(at+1, Command{Operation: PutCell, Name: "halls.leader", Value: fmt.Sprintf("%s under %d", who, r.Fence)})
		}
		return r
	}
	semarang := lead(1, "Semarang", Result{})
	lead(3, "Solo", Result{}) // another holds the lock: Solo watches
	lead(5, "Solo", semarang) // Semarang's lease has run out
	events, _, _ := t.EventsSince("halls.", 0)
	for _, e := range events {
		fmt.Println(e.Revision, e.Value)
	}
	// Semarang resumes and renews too late.
	fmt.Println(t.Apply(7, Command{Operation: RenewLock, Name: "halls", Holder: "Semarang", FencingToken: semarang.Fence, LeaseMS: 3000}).Code == LockLost)
	// Output:
	// 1 Semarang under 1
	// 2 Solo under 5
	// true
}
