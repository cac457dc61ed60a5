package controlplane

import (
	"errors"
	"testing"
)

// startTestLoop runs an event loop with an empty state.
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
		t.Errorf("tasks ran in order %v, %v, want [0 1 2], nil", got, err)
	}
}

// TestCallLoopWhileClosing checks that a call either runs and returns its result, or fails and
// never runs, whenever the node is closed.
func TestCallLoopWhileClosing(t *testing.T) {
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
		t.Errorf("callLoop of a task that ran: error %v, want nil", err)
	}
	env.close()
	if _, err := callLoop(loop, func(*loopState) bool { return true }); !errors.Is(err, errStopping) {
		t.Errorf("callLoop after close: error %v, want errStopping", err)
	}
}
