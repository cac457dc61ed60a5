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

// ErrHandshake is returned by Accept if the peer does not use this version of the protocol.
var ErrHandshake = errors.New("transport: missing hello or unsupported protocol version")

// ErrFrameTooLarge is returned for a frame that exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("transport: frame is too large")

const (
	// headerBytes is the size of a frame header.
	headerBytes = 4
	// compressedFlag is set in the header if the body is compressed.
	compressedFlag = 1 << 31

	// maxWriteChunkBytes is how much data the kernel must accept within WriteTimeout.
	maxWriteChunkBytes = 16 << 10
	// maxHelloBytes bounds the first frame of an incoming connection, also when decompressed.
	maxHelloBytes = 64 << 10
	// readBufferBytes is the size of a read buffer, small as there are many connections.
	readBufferBytes = 4096
	// maxRetainedBufferBytes bounds the send buffer that is kept for the next frame. Only lists
	// and large configurations exceed it, which are rarely sent.
	maxRetainedBufferBytes = 16 * CompressionThresholdBytes
	// initialSendBufferBytes is the capacity of the buffer that replaces a larger one.
	initialSendBufferBytes = 1 << 10
)

// Conn is a connection that carries frames. Send and Close are safe for concurrent use. Receive
// must be called by one goroutine at a time.
type Conn struct {
	raw net.Conn

	// WriteTimeout is how long Send may go without progress. Sending a complete frame may take
	// longer. It must not be changed while another goroutine may call Send.
	WriteTimeout time.Duration

	// sendMu guards the following fields and keeps concurrent frames from interleaving.
	sendMu         sync.Mutex
	encoder        *gob.Encoder // writes to sendBuffer
	sendBuffer     bytes.Buffer // header and body of a frame
	compressBuffer bytes.Buffer // header and compressed body of a large frame

	// The following fields are used only by the goroutine that calls Receive.
	reader        *bufio.Reader
	maxFrameBytes int
	decoder       *gob.Decoder // reads from receiveBuffer
	receiveBuffer bytes.Buffer // body of a frame
}

// NewConn returns a connection over raw and takes ownership of raw. timeout is the initial
// WriteTimeout, and how long sent data may stay unacknowledged before the kernel closes the
// connection.
func NewConn(raw net.Conn, timeout time.Duration) *Conn {
	SetTCPUserTimeout(raw, timeout)
	c := &Conn{
		raw:          raw,
		reader:       bufio.NewReaderSize(raw, readBufferBytes),
		WriteTimeout: timeout,

		maxFrameBytes: MaxFrameBytes,
	}
	c.encoder = gob.NewEncoder(&c.sendBuffer)
	c.decoder = gob.NewDecoder(&c.receiveBuffer)
	return c
}

// Dial connects to addr (IP:port) within timeout, unless ctx ends first, and sends the hello. The
// timeout is also passed to NewConn. Dial does not wait for an answer: a process with another
// protocol version closes the connection.
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

// Accept waits up to timeout for the hello on an incoming connection. The timeout is also passed
// to NewConn. Accept returns ErrHandshake if the first frame holds no hello of this protocol
// version. After an error the caller must close raw.
func Accept(raw net.Conn, timeout time.Duration) (*Conn, Hello, error) {
	c := NewConn(raw, timeout)
	c.maxFrameBytes = maxHelloBytes
	f, err := c.Receive(timeout)
	if err != nil {
		return nil, Hello{}, err
	}
	c.maxFrameBytes = MaxFrameBytes
	if f.Hello == nil || f.Hello.Version != Version {
		return nil, Hello{}, ErrHandshake
	}
	return c, *f.Hello, nil
}

// Send writes one frame and returns when the kernel has accepted all of it. A failed write closes
// the connection. After any other error, which is not expected, the connection must not be used
// either, as the peer may lack gob type definitions that the frame contained.
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

// encode returns the header and the body of a frame. The result is valid until the next call.
func (c *Conn) encode(f *Frame) ([]byte, error) {
	var placeholder [headerBytes]byte // overwritten when the length is known
	c.sendBuffer.Reset()
	c.sendBuffer.Write(placeholder[:])
	if err := c.encoder.Encode(f); err != nil {
		return nil, fmt.Errorf("transport: encode: %w", err)
	}
	encoded := c.sendBuffer.Bytes()
	length := len(encoded) - headerBytes
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, length)
	}
	header := uint32(length)
	if len(encoded) > CompressionThresholdBytes && !f.hasPackedItems() {
		c.compressBuffer.Reset()
		c.compressBuffer.Write(placeholder[:])
		if err := compress(&c.compressBuffer, encoded[headerBytes:]); err != nil {
			return nil, err
		}
		encoded = c.compressBuffer.Bytes()
		header = uint32(len(encoded)-headerBytes) | compressedFlag
	}
	binary.BigEndian.PutUint32(encoded, header)
	return encoded, nil
}

// compress appends the compressed body to target.
func compress(target *bytes.Buffer, body []byte) error {
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	w.Reset(target)
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("transport: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("transport: compress: %w", err)
	}
	return nil
}

// write sends a frame in chunks, each with its own deadline: a large frame on a slow link may
// take longer than the timeout, while a peer that accepts no data must be detected.
func (c *Conn) write(encoded []byte) error {
	for len(encoded) > 0 {
		chunk := encoded[:min(len(encoded), maxWriteChunkBytes)]
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

// releaseLargeBuffers releases send buffers that have grown for a list or a large configuration.
func (c *Conn) releaseLargeBuffers() {
	if c.sendBuffer.Cap() <= maxRetainedBufferBytes {
		return
	}
	c.sendBuffer = bytes.Buffer{}
	c.sendBuffer.Grow(initialSendBufferBytes)
	c.compressBuffer = bytes.Buffer{}
}

// Receive waits for one frame and returns it. The complete frame must arrive within timeout; with
// a timeout of 0 Receive waits until the connection is closed. After an error the connection must
// not be used, and the caller must close it. At the end of the stream the error wraps io.EOF.
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

// readBody reads a header, and reads the body that follows it into receiveBuffer.
func (c *Conn) readBody() error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return fmt.Errorf("transport: receive: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	isCompressed := length&compressedFlag != 0
	length &^= compressedFlag
	if int64(length) > int64(c.maxFrameBytes) {
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

// decompress decompresses a body into receiveBuffer.
func (c *Conn) decompress(body io.Reader) error {
	decompressed := flate.NewReader(bufio.NewReader(body))
	n, err := io.Copy(&c.receiveBuffer, io.LimitReader(decompressed, int64(c.maxFrameBytes)+1))
	if err != nil {
		return fmt.Errorf("transport: decompress: %w", err)
	}
	if n > int64(c.maxFrameBytes) {
		return fmt.Errorf("%w: over %d bytes when decompressed", ErrFrameTooLarge, c.maxFrameBytes)
	}
	return nil
}

// Close closes the connection. Blocked calls of Send and Receive return an error.
func (c *Conn) Close() { c.raw.Close() }
