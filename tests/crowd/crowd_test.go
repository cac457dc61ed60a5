package crowd

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// settleTimeout bounds the time in which a crowd sends its first bytes. A member whose bytes
	// are not read does not finish sending.
	settleTimeout = 15 * time.Second
	// trickleInterval is the time between two bytes of a member that trickles.
	trickleInterval = 200 * time.Millisecond
	// connectPause is the pause after a member could not connect.
	connectPause = 5 * time.Millisecond
)

// member is one connection of a crowd. It never reads.
type member struct {
	// start is sent at once.
	start []byte
	// trickled is sent after that, byte by byte.
	trickled []byte
}

// crowd holds the open connections of all members.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	done  chan struct{}
}

// gather opens count connections to an address, each as a member, and returns when all members have
// sent what they send at once, have been closed, or have not been read for settleTimeout. The
// connections stay open until the end of the test.
func gather(t *testing.T, address string, count int, m member) {
	c := &crowd{done: make(chan struct{})}
	var sending sync.WaitGroup
	for range count {
		sending.Go(func() { c.join(address, m) })
	}
	t.Cleanup(c.disperse)
	settled := make(chan struct{})
	go func() {
		sending.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-time.After(settleTimeout):
	}
}

// join connects and sends the first part of a member.
func (c *crowd) join(address string, m member) {
	conn, err := c.connect(address)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if _, err := conn.Write(m.start); err != nil {
		return // the server has closed the connection
	}
	go c.trickle(conn, m.trickled)
}

// connect connects, repeating until the server's queue of new connections has room.
func (c *crowd) connect(address string) (net.Conn, error) {
	for end := time.Now().Add(settleTimeout); ; time.Sleep(connectPause) {
		conn, err := net.DialTimeout("tcp4", address, settleTimeout)
		if err == nil || time.Now().After(end) {
			return conn, err
		}
	}
}

// trickle sends the second part of a member.
func (c *crowd) trickle(conn net.Conn, rest []byte) {
	for i := range rest {
		select {
		case <-c.done:
			return
		case <-time.After(trickleInterval):
		}
		if _, err := conn.Write(rest[i : i+1]); err != nil {
			return
		}
	}
}

// disperse closes all connections.
func (c *crowd) disperse() {
	close(c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// framing is how the end of a body is marked.
type framing string

const (
	byLength framing = "length"
	byChunks framing = "chunks"
)

// post returns a POST request with the given body. It is complete.
func post(target string, body []byte, f framing) []byte {
	head := "POST " + target + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Attempt-Id: crowd\r\nContent-Type: application/json\r\n"
	if f == byLength {
		return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, len(body)), body...)
	}
	text := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	const chunkBytes = 32 << 10
	for len(body) > 0 {
		chunk := body[:min(len(body), chunkBytes)]
		body = body[len(chunk):]
		text = append(fmt.Appendf(text, "%x\r\n", len(chunk)), chunk...)
		text = append(text, "\r\n"...)
	}
	return append(text, "0\r\n\r\n"...)
}

// stoppingShort returns a member that sends all of a request but its last bytes.
func stoppingShort(request []byte) member { return member{start: request[:len(request)-lastBytes]} }

// trickling returns a member that sends most of a request at once and the rest byte by byte.
func trickling(request []byte) member {
	most := len(request) - 1000
	return member{start: request[:most], trickled: request[most : len(request)-lastBytes]}
}

// lastBytes is more than the end of a chunked body takes.
const lastBytes = 8
