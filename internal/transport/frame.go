// Package transport is the internal wire between the processes of one deployment: between
// control-plane nodes, and between them and the proxies and relays that follow them.
//
// A connection carries frames in both directions, and any number of them may be under way; the
// package does not match answers with requests. The process that connects sends a Hello first,
// which gives the version of the wire and the role of the sender. Who may send which part of a
// Frame is documented at its fields.
//
// A frame is a header of four bytes, big-endian, and a body. The header holds the length of
// the body, and in its highest bit whether the body is compressed (DEFLATE, RFC 1951). The
// body is a Frame in the form of encoding/gob, as one continuous gob stream for each direction
// of a connection: type definitions are sent once. Gob identifies struct fields by their name,
// so the exported fields of everything that is reachable from Frame are part of the wire, and
// their names stay when the types are renamed.
//
// The package starts no goroutine. It trusts its peers' identities: the internal ports must not
// be reachable from outside of the deployment. It does not trust their bytes: what it reads is
// bounded by MaxFrame.
package transport

import (
	"lichentray/raft"
	"lichentray/registry"
)

// Version is the version of the wire. Processes with different versions do not talk to each
// other.
const Version = 3

// MaxFrame is the length in bytes that the body of a frame may have, before and after it is
// compressed.
const MaxFrame = 32 << 20

// Frame is one message. Any number of its fields may be set, and only those are sent. The
// receiver handles each by itself.
type Frame struct {
	// Hello is set in the first frame of the process that connected, and in no other.
	Hello *Hello
	// Raft holds consensus messages, between control-plane nodes.
	Raft []raft.Message
	// Beats are heartbeats of endpoints, from a control-plane node to the leader.
	Beats []Heartbeat
	// Ask is a request, which is answered by a frame with Answer.
	Ask    *Request
	Answer *Response
	// Events are changes to the registry, in the order of their revisions, from a
	// control-plane node to a proxy that watches.
	Events []registry.Event
	// Bookmark is sent by a control-plane node to a proxy or a relay while it is up to date.
	// In a frame with Events it covers them.
	Bookmark *Bookmark
	// Gone ends a watch whose next events are no longer retained. The proxy has to list again.
	Gone bool
	// Proxies sums up what proxies report. It is exchanged between control-plane nodes and their
	// leader.
	Proxies *ProxyAggregate
	// Ack is the revision up to which a proxy has applied the events, or 0.
	Ack uint64
	// Report is sent by a proxy to the control-plane node that it watches.
	Report *ProxyReport
	// Account acknowledges the audit records of a report.
	Account *AuditAck
	// PackedEvents takes the place of Events where both ends know Pack.
	PackedEvents []byte
}

// UnpackEvents returns the events of a frame, whichever of Events and PackedEvents holds them.
func (f *Frame) UnpackEvents() ([]registry.Event, error) {
	if f.PackedEvents == nil {
		return f.Events, nil
	}
	return unpack[registry.Event](f.PackedEvents)
}

// holdsPackedItems reports that most of a large frame is compressed already.
func (f *Frame) holdsPackedItems() bool {
	return f.PackedEvents != nil || f.Answer != nil && f.Answer.Packed != nil
}
