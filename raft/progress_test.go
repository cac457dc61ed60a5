package raft

import (
	"testing"
	"time"
)

// TestFlowControlWindow: the window grows while acknowledgements are prompt, and shrinks
// while they are late, within its limits.
func TestFlowControlWindow(t *testing.T) {
	config := &Config{ElectionTimeout: time.Second, MaxBatchBytes: 16 << 10}
	f := flowControl{windowBytes: config.MaxBatchBytes}
	var now time.Duration
	var end uint64
	sendAndAck := func(rtt time.Duration) {
		end++
		f.recordSent(now, end, 8<<10)
		now += rtt
		f.recordAck(config, now, end)
	}
	for range 10 {
		sendAndAck(10 * time.Millisecond)
	}
	if f.windowBytes != 64<<10 {
		t.Errorf("window of %d bytes after prompt acknowledgements, want the limit of 64 KiB", f.windowBytes)
	}
	for range 10 {
		sendAndAck(500 * time.Millisecond)
	}
	if f.windowBytes != 4<<10 {
		t.Errorf("window of %d bytes after late acknowledgements, want the limit of 4 KiB", f.windowBytes)
	}
	if f.inflightBytes != 0 || len(f.inflights) != 0 {
		t.Errorf("%d bytes in flight after all was acknowledged", f.inflightBytes)
	}
}

// TestFlowControlCanSend: one message may always be sent, more only within the window.
func TestFlowControlCanSend(t *testing.T) {
	f := flowControl{windowBytes: 1000}
	if !f.canSend() {
		t.Error("nothing in flight, and nothing may be sent")
	}
	f.recordSent(0, 1, 999)
	if !f.canSend() {
		t.Error("below the window, and nothing may be sent")
	}
	f.recordSent(0, 2, 1)
	if f.canSend() {
		t.Error("more may be sent than the window")
	}
	f.recordAck(&Config{ElectionTimeout: time.Second, MaxBatchBytes: 1000}, 0, 1)
	if !f.canSend() {
		t.Error("acknowledged bytes still count as in flight")
	}
}

// TestFlowControlAckTimeout: the timeout grows with the bytes in flight and doubles with
// each timeout in a row, sixteenfold at most.
func TestFlowControlAckTimeout(t *testing.T) {
	const heartbeatInterval = 100 * time.Millisecond
	for _, test := range []struct {
		name     string
		bytes    int
		timeouts int
		want     time.Duration
	}{
		{"nothing in flight", 0, 0, 300 * time.Millisecond},
		{"64 KiB in flight", 64 << 10, 0, 900 * time.Millisecond},
		{"after two timeouts", 0, 2, 1200 * time.Millisecond},
		{"after many timeouts", 0, 50, 4800 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := flowControl{inflightBytes: test.bytes, consecutiveTimeouts: test.timeouts}
			if got := f.ackTimeout(heartbeatInterval); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
