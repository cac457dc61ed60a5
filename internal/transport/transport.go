// Package transport joins the system's own processes (the internal wire): gob in
// bounded frames over TCP, with a hello that tells version and role.
package transport

import (
	"bufio"
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
	"lichentray/raft"
	"lichentray/registry"
	"lichentray/rollout"
)

// Version is the wire's version. Nodes of different versions do not talk.
const Version = 3

// MaxFrame bounds one frame.
const MaxFrame = 32 << 20

// Role is what the caller of a connection is.
type Role uint8

// The roles.
const (
	RolePeer  Role = iota + 1 // a control-plane node
	RoleProxy                 // a proxy node
	RoleRelay                 // a control-plane node without a disk, which sends callers on
)

// Hello opens a connection.
type Hello struct {
	Version int
	Role    Role
	Node    string
	ID      uint64
	Addr    string // where a control-plane node is reached
	Zone    string
}

// Heartbeat renews the liveness of an endpoint.
type Heartbeat struct {
	ID    string
	AgoMS uint32
}

// Request is a call that wants one Answer.
type Request struct {
	ID      uint64
	Command []byte       // a rack command to put through the log
	Read    bool         // a confirmed read point
	Join    *raft.Member // take this node in as a learner
	Passed  bool         // a Join that was passed on to the leader
	Leave   uint64       // may this member's process end? asked again until it may
	List    bool         // a list behind a read point, then the watch
	Least   uint64       // the list or watch must reach this revision
	Watch   bool         // events after Least
	Packs   bool         // a list, and later events, may come packed
	Zone    string       // a list may be refused in favour of a node in this zone
}

// Response answers an Ask.
type Response struct {
	ID       uint64
	Failed   bool
	Kind     apierror.Kind
	Detail   string
	Result   registry.Result
	Index    uint64
	Revision uint64
	Objects  []registry.Object
	Gone     bool
	// Nearer, in place of a list, names the core, which has a node in the zone asked
	// from.
	Nearer []ControlNode
	// Packed is Objects in the form that many askers share, see Pack.
	Packed []byte
}

// UnpackObjects gives the objects of an answer, packed or not.
func (a *Response) UnpackObjects() ([]registry.Object, error) {
	if a.Packed == nil {
		return a.Objects, nil
	}
	return unpack[registry.Object](a.Packed)
}

// Pack writes what many connections are sent once for all of them: of a large list
// or event most of the work, and of the memory, is to encode and compress it.
func Pack[T registry.Object | registry.Event](items []T) ([]byte, error) {
	var b bytes.Buffer
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	w.Reset(&b)
	err := gob.NewEncoder(w).Encode(items)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("transport: pack: %w", err)
	}
	return b.Bytes(), nil
}

func unpack[T registry.Object | registry.Event](b []byte) (out []T, err error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(b)), MaxFrame)
	if err = gob.NewDecoder(r).Decode(&out); err == nil {
		_, err = io.Copy(io.Discard, r) // to its very end, or it was cut
	}
	if err != nil {
		return nil, fmt.Errorf("transport: unpack: %w", err)
	}
	return out, nil
}

// ControlNode is where a control-plane node is reached, and its zone if that is
// known.
type ControlNode struct{ Addr, API, Zone string }

// Bookmark tells a proxy how far the stream is, whom else it may ask, and what
// the leader has shared out.
type Bookmark struct {
	Revision uint64
	Control  []ControlNode
	Proxies  int
	Loads    map[string]loadbalance.Load // by service, over all proxies
	Round    *QuotaGrants
	Judged   bool // Verdicts are told
	Verdicts []loadbalance.Verdict
	// Diskless tells that the sender keeps its log in memory: no machine of the
	// core has a disk.
	Diskless bool
}

// ProxyReport is what a proxy tells now and then. Its sequence dates the shares that
// are granted in answer.
type ProxyReport struct {
	Seq   uint64
	Loads map[string]loadbalance.Load
	Seen  map[string]loadbalance.Observation // by endpoint, since the last report
	Self  *registry.Proxy                    // its entry in the registry, where proxies are members
	// Trials are the roll-outs under way, by service.
	Trials map[string]RolloutReport
	// Account is what goes into the account of failures.
	Account *audit.Batch
}

// AuditAck tells a proxy up to where records of a life are in the account, and
// whether its end is.
type AuditAck struct {
	Life   string
	Seq    uint64
	Closed bool
}

// RolloutReport is what one proxy, or one control-plane node for all its proxies, tells of
// a roll-out. A proxy tells what it saw since its last report, a node all that it
// was told since its own start.
type RolloutReport struct {
	Order    uint64
	Evidence rollout.Evidence
	// Stage is the least stage that any of so many proxies has taken, AtBase how many
	// requests they have at endpoints of the old version.
	Proxies, Stage, AtBase int
}

// QuotaGrants is what the leader granted one proxy, in answer to the report Seq.
type QuotaGrants struct {
	Seq    uint64
	Grants []loadbalance.Grant
}

// Frame is one message. Only what is set is sent.
type Frame struct {
	Hello    *Hello
	Raft     []raft.Message
	Beats    []Heartbeat
	Ask      *Request
	Answer   *Response
	Events   []registry.Event
	Bookmark *Bookmark
	Gone     bool
	Proxies  *ProxyAggregate
	Ack      uint64 // revision that a proxy has applied
	Report   *ProxyReport
	Account  *AuditAck
	// PackedEvents is Events in the form that many watchers share, see Pack.
	PackedEvents []byte
}

// UnpackEvents gives the events of a frame, packed or not.
func (f *Frame) UnpackEvents() ([]registry.Event, error) {
	if f.PackedEvents == nil {
		return f.Events, nil
	}
	return unpack[registry.Event](f.PackedEvents)
}

// CompressionThreshold is from which size on frames are worth packing.
const CompressionThreshold = 8 << 10

// ProxyAggregate tells the leader which proxies watch at a node, and the others the
// sum over all.
type ProxyAggregate struct {
	Here   map[string]uint64 // by name, the newest report's sequence
	Sum    int
	Loads  map[string]loadbalance.Load
	Seen   map[string]loadbalance.Observation // to the leader
	Rounds map[string]QuotaGrants             // by proxy
	// Trials are told to the leader, under the life of the node that tells.
	Trials map[string]RolloutReport
	Life   uint64
	// Verdicts are the leader's on all endpoints.
	Verdicts []loadbalance.Verdict
}

// maxWriteChunk is what must be taken within WriteTimeout, in bytes.
const maxWriteChunk = 16 << 10

// compressedFlag in the length tells that a frame is compressed.
const compressedFlag = 1 << 31

var compressorPool = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
	return w
}}

// Conn is one connection. Send may be called from any goroutine; Receive from
// one at a time.
type Conn struct {
	raw           net.Conn
	reader        *bufio.Reader
	sendMu        sync.Mutex
	sendBuffer    bytes.Buffer
	encoder       *gob.Encoder
	receiveBuffer bytes.Buffer
	decoder       *gob.Decoder
	// compressBuffer is a large frame in its compressed form.
	compressBuffer bytes.Buffer
	// WriteTimeout bounds how long a Send may go without progress.
	WriteTimeout time.Duration
}

// NewConn wraps a raw connection. silence is how long unacknowledged bytes may
// wait before the kernel gives the connection up.
func NewConn(raw net.Conn, silence time.Duration) *Conn {
	SetTCPUserTimeout(raw, silence)
	c := &Conn{raw: raw, reader: bufio.NewReaderSize(raw, 4096), WriteTimeout: silence}
	c.encoder = gob.NewEncoder(&c.sendBuffer)
	c.decoder = gob.NewDecoder(&c.receiveBuffer)
	return c
}

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT

// SetTCPUserTimeout sets TCP_USER_TIMEOUT, so that a peer without power is noticed.
func SetTCPUserTimeout(raw net.Conn, silence time.Duration) {
	t, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	if sc, err := t.SyscallConn(); err == nil {
		_ = sc.Control(func(fd uintptr) { // a kernel without it only notices later
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
		})
	}
}

// Dial connects and says hello.
func Dial(ctx context.Context, addr string, silence time.Duration, h Hello) (*Conn, error) {
	d := net.Dialer{Timeout: silence, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	c := NewConn(raw, silence)
	h.Version = Version
	if err := c.Send(&Frame{Hello: &h}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// ErrHandshake says that the other end does not speak this wire.
var ErrHandshake = errors.New("transport: no hello of this version")

// Accept reads the hello of an incoming connection.
func Accept(raw net.Conn, silence time.Duration) (*Conn, Hello, error) {
	c := NewConn(raw, silence)
	f, err := c.Receive(silence)
	if err != nil {
		return nil, Hello{}, err
	}
	if f.Hello == nil || f.Hello.Version != Version {
		return nil, Hello{}, ErrHandshake
	}
	return c, *f.Hello, nil
}

// Send writes one frame.
func (c *Conn) Send(f *Frame) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	c.sendBuffer.Reset()
	c.sendBuffer.Write([]byte{0, 0, 0, 0})
	if err := c.encoder.Encode(f); err != nil {
		return fmt.Errorf("transport: encode: %w", err)
	}
	b := c.sendBuffer.Bytes()
	if len(b)-4 > MaxFrame {
		return fmt.Errorf("transport: frame of %d bytes is too large", len(b)-4)
	}
	head := uint32(len(b) - 4)
	if len(b) > CompressionThreshold && f.PackedEvents == nil && (f.Answer == nil || f.Answer.Packed == nil) {
		c.compressBuffer.Reset()
		c.compressBuffer.Write([]byte{0, 0, 0, 0})
		w := compressorPool.Get().(*flate.Writer)
		w.Reset(&c.compressBuffer)
		_, err := w.Write(b[4:])
		if err == nil {
			err = w.Close()
		}
		compressorPool.Put(w)
		if err != nil {
			return fmt.Errorf("transport: pack: %w", err)
		}
		b = c.compressBuffer.Bytes()
		head = uint32(len(b)-4) | compressedFlag
	}
	binary.BigEndian.PutUint32(b, head)
	for len(b) > 0 {
		piece := b[:min(len(b), maxWriteChunk)]
		b = b[len(piece):]
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
			return fmt.Errorf("transport: %w", err)
		}
		if _, err := c.raw.Write(piece); err != nil {
			c.raw.Close()
			return fmt.Errorf("transport: send: %w", err)
		}
	}
	if c.sendBuffer.Cap() > 16*CompressionThreshold { // a list or a large configuration; not kept
		c.sendBuffer, c.compressBuffer = bytes.Buffer{}, bytes.Buffer{}
		c.sendBuffer.Grow(1 << 10)
	}
	return nil
}

// Receive reads one frame; 0 waits without bound.
func (c *Conn) Receive(wait time.Duration) (*Frame, error) {
	var until time.Time
	if wait > 0 {
		until = time.Now().Add(wait)
	}
	if err := c.raw.SetReadDeadline(until); err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return nil, fmt.Errorf("transport: receive: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	packed := n&compressedFlag != 0
	if n &^= compressedFlag; n > MaxFrame {
		return nil, fmt.Errorf("transport: frame of %d bytes is too large", n)
	}
	c.receiveBuffer.Reset()
	body := io.LimitReader(c.reader, int64(n))
	if packed {
		if m, err := io.Copy(&c.receiveBuffer, io.LimitReader(flate.NewReader(bufio.NewReader(body)), MaxFrame+1)); err != nil || m > MaxFrame {
			return nil, fmt.Errorf("transport: unpack %d bytes: %w", m, err)
		}
	} else if m, err := io.Copy(&c.receiveBuffer, body); err != nil || m != int64(n) {
		return nil, fmt.Errorf("transport: receive: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	f := new(Frame)
	if err := c.decoder.Decode(f); err != nil {
		return nil, fmt.Errorf("transport: decode: %w", err)
	}
	return f, nil
}

// Close ends the connection.
func (c *Conn) Close() { c.raw.Close() }

// RemoteAddr is the other end's address.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }
