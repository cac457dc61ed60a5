package soak

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"lichentray/internal/transport"
)

// direction is a set of traffic directions of a node that can be blocked.
type direction int

// The directions.
const (
	inbound direction = 1 << iota
	outbound
	bothWays = inbound | outbound
)

// maxHelloBytes limits the first frame of a connection between nodes.
const maxHelloBytes = 1 << 16

// network manages the forwarders in front of the control-plane nodes. While a node is partitioned, the
// bytes of its connections are held back, and they are delivered when the partition heals.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	blocked map[string]direction // by node
	links   map[*link]struct{}
	closed  bool

	listeners []net.Listener
}

// link is a forwarded connection.
type link struct {
	from, to       string // nodes; from is empty if unknown
	caller, callee net.Conn
	isClosed       bool // guarded by network.mu
}

func newNetwork() *network {
	n := &network{blocked: map[string]direction{}, links: map[*link]struct{}{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// forward listens on the address of a node and forwards connections to target, where the node listens.
// On internal addresses the first frame identifies the calling node.
func (n *network) forward(node, address, target string, isInternal bool) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, listener)
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(&link{to: node, caller: caller}, target, isInternal)
		}
	}()
	return nil
}

// serve forwards one connection until either end closes it.
func (n *network) serve(l *link, target string, isInternal bool) {
	defer l.caller.Close()
	var hello []byte
	if isInternal {
		var err error
		if hello, l.from, err = readHello(l.caller); err != nil && len(hello) == 0 {
			return
		}
	}
	callee, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		resetOnClose(l.caller)
		return
	}
	defer callee.Close()
	l.callee = callee
	if !n.open(l) {
		return
	}
	defer n.close(l)
	var copies sync.WaitGroup
	copies.Go(func() { n.copy(l, l.callee, io.MultiReader(bytes.NewReader(hello), l.caller), l.from, l.to) })
	copies.Go(func() { n.copy(l, l.caller, l.callee, l.to, l.from) })
	copies.Wait()
}

// readHello reads the first frame and returns its bytes and the node that sent it. Data that is not a
// valid frame is returned unchanged.
func readHello(conn net.Conn) (raw []byte, node string, err error) {
	header := make([]byte, 4)
	if n, err := io.ReadFull(conn, header); err != nil {
		return header[:n], "", err
	}
	length := binary.BigEndian.Uint32(header)
	if length > maxHelloBytes {
		return header, "", errors.New("first frame exceeds maxHelloBytes")
	}
	body := make([]byte, length)
	if n, err := io.ReadFull(conn, body); err != nil {
		return append(header, body[:n]...), "", err
	}
	var frame transport.Frame
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&frame); err == nil && frame.Hello != nil {
		node = frame.Hello.Node
	}
	return append(header, body...), node, nil
}

// resetOnClose makes closing a connection send a reset, as a port without a listener does.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // otherwise Close ends it gracefully
	}
}

// open registers a link. It returns false if the network is shut down.
func (n *network) open(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.links[l] = struct{}{}
	}
	return !n.closed
}

// close closes a link.
func (n *network) close(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeLocked(l)
}

func (n *network) closeLocked(l *link) {
	l.isClosed = true
	delete(n.links, l)
	l.caller.Close()
	l.callee.Close()
	n.changed.Broadcast()
}

// copy forwards one direction of a link until it ends, and then closes the link.
func (n *network) copy(l *link, to io.Writer, from io.Reader, sender, receiver string) {
	defer n.close(l)
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		if !n.waitUntilUnblocked(l, sender, receiver) {
			return
		}
		if _, writeErr := to.Write(buffer[:size]); err != nil || writeErr != nil {
			return
		}
	}
}

// waitUntilUnblocked waits until data may pass. It returns false if the link is closed.
func (n *network) waitUntilUnblocked(l *link, sender, receiver string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !l.isClosed && (n.blocked[sender]&outbound != 0 || n.blocked[receiver]&inbound != 0) {
		n.changed.Wait()
	}
	return !l.isClosed
}

// block holds back what a node sends or receives until unblock is called.
func (n *network) block(node string, d direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[node] |= d
}

// unblock ends the partition of a node.
func (n *network) unblock(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, node)
	n.changed.Broadcast()
}

// reset resets all connections of a node.
func (n *network) reset(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.from == node || l.to == node {
			resetOnClose(l.caller)
			resetOnClose(l.callee)
			n.closeLocked(l)
		}
	}
}

// shutdown closes all listeners and connections.
func (n *network) shutdown() {
	for _, listener := range n.listeners {
		listener.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for l := range n.links {
		n.closeLocked(l)
	}
}
