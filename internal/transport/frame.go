// Package transport implements the internal protocol between the processes of one deployment:
// between control-plane nodes, and between them and the proxies and relays that follow them.
//
// A connection carries frames in both directions, with any number of them in flight; the package
// does not match responses to requests. The process that connects first sends a Hello with the
// protocol version and its role. The fields of Frame document who may send them.
//
// A frame consists of a header of four bytes, big-endian, and a body. The highest bit of the
// header says whether the body is compressed (DEFLATE, RFC 1951), the other bits are the length
// of the body. The bodies of each direction form one gob stream of Frame values, so type
// definitions are sent once. Gob identifies struct fields by name: the names of the exported
// fields of all types reachable from Frame are part of the protocol, those of the types are not.
//
// The package starts no goroutines. It does not authenticate peers: the internal ports must not
// be reachable from outside the deployment. It does not trust received data, whose size is
// bounded by MaxFrameBytes.
package transport

import (
	"lichentray/raft"
	"lichentray/registry"
)

// Version is the protocol version. Processes with different versions do not communicate.
const Version = 3

// MaxFrameBytes is the maximum size of a frame body, both compressed and uncompressed.
const MaxFrameBytes = 32 << 20

// Frame is one message. Any number of its fields may be set; only those are sent, and the
// receiver handles each independently.
type Frame struct {
	// Hello is set only in the first frame from the process that connected.
	Hello *Hello
	// Raft holds consensus messages between control-plane nodes.
	Raft []raft.Message
	// Beats are heartbeats of endpoints, from a control-plane node to the leader.
	Beats []Heartbeat
	// Ask is a request. The response is sent as Answer.
	Ask    *Request
	Answer *Response
	// Events are changes to the registry in order of revision, from a control-plane node to a
	// watching proxy.
	Events []registry.Event
	// Bookmark is sent by a control-plane node to a proxy or a relay while the node is up to
	// date. In a frame with Events, its revision includes them.
	Bookmark *Bookmark
	// Gone ends a watch whose next events are no longer retained. The proxy must list again.
	Gone bool
	// Proxies aggregates reports of proxies. It is exchanged between control-plane nodes and
	// their leader.
	Proxies *ProxyAggregate
	// Ack is the revision up to which a proxy has applied the events, or 0.
	Ack uint64
	// Report is sent by a proxy to the control-plane node that it watches.
	Report *ProxyReport
	// Account acknowledges the audit records in a Report.
	Account *AuditAck
	// PackedEvents replaces Events if both ends support Pack.
	PackedEvents []byte
}

// UnpackEvents returns the events from PackedEvents, or Events if there are no packed ones.
func (f *Frame) UnpackEvents() ([]registry.Event, error) {
	if f.PackedEvents == nil {
		return f.Events, nil
	}
	return unpack[registry.Event](f.PackedEvents)
}

// hasPackedItems reports whether the frame holds items that Pack has already compressed.
func (f *Frame) hasPackedItems() bool {
	return f.PackedEvents != nil || f.Answer != nil && f.Answer.Packed != nil
}
