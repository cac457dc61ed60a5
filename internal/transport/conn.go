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
	"time"
)

// ErrHandshake is the error of Accept if the other end does not speak this version of the wire.
var ErrHandshake = errors.New("transport: no hello of this version")

// ErrFrameTooLarge is the error of a frame that exceeds MaxFrame.
var ErrFrameTooLarge = errors.New("transport: frame is too large")

const (
	// headerBytes is the length of a frame's header.
	headerBytes = 4
	// compressedFlag in the header says that the body is compressed.
	compressedFlag = 1 << 31

	// maxWriteChunk is how many bytes have to be taken by the kernel within WriteTimeout.
	maxWriteChunk = 16 << 10
	// readBufferBytes is the size of the buffer for reading, small as there are many
	// connections.
	readBufferBytes = 4096
	// maxRetainedBytes bounds the buffer for sending that is kept for the next frame. Lists
	// and large configurations exceed it, and few are sent.
	maxRetainedBytes = 16 * CompressionThreshold
	// initialSendBytes is the capacity of a buffer that takes the place of a larger one.
	initialSendBytes = 1 << 10
)

// Conn is one connection. Send may be called by any number of goroutines at once, Receive by
// one at a time. Close may be called at any time.
type Conn struct {
	raw net.Conn

	// WriteTimeout is how long Send may go without progress. A frame as a whole may take
	// longer. It must not be changed once Send may be called by another goroutine.
	WriteTimeout time.Duration

	// sendMu guards the fields for sending and keeps frames apart on the wire.
	sendMu         sync.Mutex
	encoder        *gob.Encoder // writes to sendBuffer
	sendBuffer     bytes.Buffer // header and body of a frame
	compressBuffer bytes.Buffer // header and compressed body of a large frame

	// The fields for receiving belong to the goroutine that calls Receive.
	reader        *bufio.Reader
	decoder       *gob.Decoder // reads from receiveBuffer
	receiveBuffer bytes.Buffer // body of a frame
}

// NewConn makes a connection of a raw one, which it owns from then on. timeout is how long sent
// bytes may stay unacknowledged before the kernel breaks the connection, and the initial
// WriteTimeout.
func NewConn(raw net.Conn, timeout time.Duration) *Conn {
	SetTCPUserTimeout(raw, timeout)
	c := &Conn{
		raw:          raw,
		reader:       bufio.NewReaderSize(raw, readBufferBytes),
		WriteTimeout: timeout,
	}
	c.encoder = gob.NewEncoder(&c.sendBuffer)
	c.decoder = gob.NewDecoder(&c.receiveBuffer)
	return c
}

// Dial connects to addr (IP:port), within timeout and until ctx ends, and sends the hello. The
// timeout is also that of NewConn. Dial does not wait for an answer: a process of another
// version closes the connection.
func Dial(ctx context.Context, addr string, timeout time.Duration, hello Hello) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	c := NewConn(raw, timeout)
	hello.Version = Version
	if err := c.Send(&Frame{Hello: &hello}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Accept waits, within timeout, for the hello on an incoming connection. The timeout is also
// that of NewConn. Accept returns ErrHandshake if the first frame is no hello of this version.
// After an error the raw connection still has to be closed by the caller.
func Accept(raw net.Conn, timeout time.Duration) (*Conn, Hello, error) {
	c := NewConn(raw, timeout)
	f, err := c.Receive(timeout)
	if err != nil {
		return nil, Hello{}, err
	}
	if f.Hello == nil || f.Hello.Version != Version {
		return nil, Hello{}, ErrHandshake
	}
	return c, *f.Hello, nil
}

// Send writes one frame. It waits until the kernel has taken all of it. An error of the network
// closes the connection. No other error is expected, and the connection is of no use after one,
// as the type definitions in the frame are lost.
func (c *Conn) Send(f *Frame) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	encoded, err := c.encode(f)
	if err != nil {
		return err
	}
	if err := c.write(encoded); err != nil {
		return err
	}
	c.releaseLargeBuffers()
	return nil
}

// encode returns header and body of a frame. The memory is valid until the next call.
func (c *Conn) encode(f *Frame) ([]byte, error) {
	var noHeader [headerBytes]byte // filled in when the length is known
	c.sendBuffer.Reset()
	c.sendBuffer.Write(noHeader[:])
	if err := c.encoder.Encode(f); err != nil {
		return nil, fmt.Errorf("transport: encode: %w", err)
	}
	encoded := c.sendBuffer.Bytes()
	length := len(encoded) - headerBytes
	if length > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, length)
	}
	header := uint32(length)
	if len(encoded) > CompressionThreshold && !f.holdsPackedItems() {
		c.compressBuffer.Reset()
		c.compressBuffer.Write(noHeader[:])
		if err := compress(&c.compressBuffer, encoded[headerBytes:]); err != nil {
			return nil, err
		}
		encoded = c.compressBuffer.Bytes()
		header = uint32(len(encoded)-headerBytes) | compressedFlag
	}
	binary.BigEndian.PutUint32(encoded, header)
	return encoded, nil
}

// compress appends the compressed body to a buffer.
func compress(to *bytes.Buffer, body []byte) error {
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	w.Reset(to)
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("transport: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("transport: compress: %w", err)
	}
	return nil
}

// write sends a frame chunk by chunk, each with its own deadline: a large frame on a slow link
// may take longer than the time-out, while a peer that takes nothing is to be noticed.
func (c *Conn) write(encoded []byte) error {
	for len(encoded) > 0 {
		chunk := encoded[:min(len(encoded), maxWriteChunk)]
		encoded = encoded[len(chunk):]
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
			return fmt.Errorf("transport: send: %w", err)
		}
		if _, err := c.raw.Write(chunk); err != nil {
			c.raw.Close()
			return fmt.Errorf("transport: send: %w", err)
		}
	}
	return nil
}

// releaseLargeBuffers frees the memory that a list or a large configuration needed.
func (c *Conn) releaseLargeBuffers() {
	if c.sendBuffer.Cap() <= maxRetainedBytes {
		return
	}
	c.sendBuffer = bytes.Buffer{}
	c.sendBuffer.Grow(initialSendBytes)
	c.compressBuffer = bytes.Buffer{}
}

// Receive waits for one frame and returns it. The frame must be complete within timeout; a
// timeout of 0 waits without a bound, until the connection is closed. After an error the
// connection is of no use and has to be closed by the caller. At the end of the stream the
// error wraps io.EOF.
func (c *Conn) Receive(timeout time.Duration) (*Frame, error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := c.raw.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("transport: receive: %w", err)
	}
	if err := c.readBody(); err != nil {
		return nil, err
	}
	f := new(Frame)
	if err := c.decoder.Decode(f); err != nil {
		return nil, fmt.Errorf("transport: decode: %w", err)
	}
	return f, nil
}

// readBody reads a header and, into receiveBuffer, the body that follows it.
func (c *Conn) readBody() error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return fmt.Errorf("transport: receive: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	isCompressed := length&compressedFlag != 0
	length &^= compressedFlag
	if length > MaxFrame {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, length)
	}
	c.receiveBuffer.Reset()
	body := io.LimitReader(c.reader, int64(length))
	if isCompressed {
		return c.decompress(body)
	}
	if n, err := io.Copy(&c.receiveBuffer, body); err != nil || n != int64(length) {
		return fmt.Errorf("transport: receive: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	return nil
}

// decompress reads a compressed body into receiveBuffer.
func (c *Conn) decompress(body io.Reader) error {
	decompressed := flate.NewReader(bufio.NewReader(body))
	n, err := io.Copy(&c.receiveBuffer, io.LimitReader(decompressed, MaxFrame+1))
	if err != nil {
		return fmt.Errorf("transport: decompress: %w", err)
	}
	if n > MaxFrame {
		return fmt.Errorf("%w: over %d bytes when decompressed", ErrFrameTooLarge, MaxFrame)
	}
	return nil
}

// Close closes the connection. Calls of Send and Receive that wait return an error.
func (c *Conn) Close() { c.raw.Close() }
