package controlplane

import (
	"errors"
	"testing"
)

// startTestLoop runs an event loop on an empty state.
func startTestLoop(env *environment) *eventLoop {
	loop := newEventLoop(env)
	ignore := func(*loopState) {}
	env.start(func() { loop.run(&loopState{}, ignore, ignore) })
	return loop
}

func TestEventLoopRunsTasksInOrder(t *testing.T) {
	loop := startTestLoop(newTestEnvironment(t))
	var order []int
	for i := range 3 {
		loop.post(func(*loopState) { order = append(order, i) })
	}
	got, err := callLoop(loop, func(*loopState) []int { return order })
	if err != nil || len(got) != 3 || got[0] != 0 || got[2] != 2 {
		t.Errorf("ran %v, %v", got, err)
	}
}

// TestCallLoopOfAClosedNode: a call either ran and returns its result, or fails and
// never runs, whenever the node is closed.
func TestCallLoopOfAClosedNode(t *testing.T) {
	env := newTestEnvironment(t)
	loop := startTestLoop(env)
	hasRun := false
	done := make(chan error)
	go func() {
		_, err := callLoop(loop, func(*loopState) bool {
			env.cancel() // the node closes while the task runs
			hasRun = true
			return true
		})
		done <- err
	}()
	if err := <-done; err != nil || !hasRun {
		t.Errorf("a task that ran: %v", err)
	}
	env.close()
	if _, err := callLoop(loop, func(*loopState) bool { return true }); !errors.Is(err, errStopping) {
		t.Errorf("after the end: %v", err)
	}
}
