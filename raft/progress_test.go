package raft

import (
	"testing"
	"time"
)

// TestFlowControlWindow checks that the window grows while acknowledgements are prompt and
// shrinks while they are late, within its limits.
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
		t.Errorf("windowBytes = %d after prompt acknowledgements, want the maximum of 64 KiB", f.windowBytes)
	}
	for range 10 {
		sendAndAck(500 * time.Millisecond)
	}
	if f.windowBytes != 4<<10 {
		t.Errorf("windowBytes = %d after late acknowledgements, want the minimum of 4 KiB", f.windowBytes)
	}
	if f.inflightBytes != 0 || len(f.inflights) != 0 {
		t.Errorf("inflightBytes = %d after all messages were acknowledged, want 0", f.inflightBytes)
	}
}

// TestFlowControlCanSend checks that a message may always be sent if none is in flight, and
// otherwise only within the window.
func TestFlowControlCanSend(t *testing.T) {
	f := flowControl{windowBytes: 1000}
	if !f.canSend() {
		t.Error("canSend() = false with nothing in flight")
	}
	f.recordSent(0, 1, 999)
	if !f.canSend() {
		t.Error("canSend() = false with fewer bytes in flight than the window")
	}
	f.recordSent(0, 2, 1)
	if f.canSend() {
		t.Error("canSend() = true with a full window")
	}
	f.recordAck(&Config{ElectionTimeout: time.Second, MaxBatchBytes: 1000}, 0, 1)
	if !f.canSend() {
		t.Error("canSend() = false after an acknowledgement: acknowledged bytes still count as in flight")
	}
}

// TestFlowControlAckTimeout checks that the timeout grows with the bytes in flight and
// doubles with each consecutive timeout, up to 16 times the base value.
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
				t.Errorf("ackTimeout() = %v, want %v", got, test.want)
			}
		})
	}
}
