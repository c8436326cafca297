package hostlink

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	pingAfter   = 700 * time.Millisecond // silence after which a connection with calls is checked
	pingTimeout = 500 * time.Millisecond // for the answer to the check
	// idleTimeout is after how long a connection without calls is closed. Most pairs of nodes call each other seldom, and
	// checks of idle connections between all of them would cost more than the calls.
	idleTimeout = 2 * time.Second
	// abandoned is after how long a node closes a connection whose caller has left it without calls and without a word.
	abandoned  = 5 * idleTimeout
	readBuffer = 16 << 10 // bytes
	// keptBuffer is the largest buffer for frames that is used again.
	keptBuffer = 64 << 10
)

var (
	errSilent = errors.New("the other node does not answer")
	errIdle   = errors.New("no calls")
	errClosed = errors.New("closed")
	errFormat = errors.New("not a frame of this protocol")
)

// conn is one connection between two nodes, at either end of it.
type conn struct {
	net    net.Conn
	idle   time.Duration // after which it is closed without calls
	called calledFunc    // nil at the end that opened the connection
	gone   func(c *conn)

	heard    atomic.Int64 // when something was received last, Unix nanoseconds
	mu       sync.Mutex
	err      error // why the connection ended
	streams  map[uint32]*stream
	next     uint32
	used     time.Time // when it had a call last
	pinged   bool
	watch    *time.Timer
	out      []byte // frames to be written
	spare    []byte
	flushing bool
}

// calledFunc takes the first frame of a call. It must not block.
type calledFunc func(c *conn, id uint32, head, body []byte, last bool)

func newConn(n net.Conn, idle time.Duration, called calledFunc, gone func(*conn)) *conn {
	c := &conn{net: n, idle: idle, called: called, gone: gone, streams: map[uint32]*stream{}, used: time.Now()}
	c.heard.Store(c.used.UnixNano())
	c.watch = time.AfterFunc(pingAfter, c.check)
	return c
}

// open adds a stream at the end that opened the connection. It returns false if the connection has ended.
func (c *conn) open(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	c.next++
	s.conn, s.id = c, c.next
	c.add(s)
	return true
}

func (c *conn) add(s *stream) {
	if len(c.streams) == 0 {
		c.heard.Store(time.Now().UnixNano()) // silence counts from the first call on
		c.pinged = false
		c.watch.Reset(pingAfter)
	}
	c.streams[s.id] = s
}

// accept adds a stream that the other end opened. It returns false if the connection has ended or has too many.
func (c *conn) accept(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || len(c.streams) >= mostStreams {
		return false
	}
	c.add(s)
	return true
}

func (c *conn) remove(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, s.id)
	if len(c.streams) == 0 {
		c.used = time.Now()
	}
}

// check closes a connection that is silent while calls are under way, or has none for long.
func (c *conn) check() {
	now := time.Now()
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	if len(c.streams) == 0 {
		left := c.idle - now.Sub(c.used)
		if left > 0 {
			c.watch.Reset(left)
		}
		c.mu.Unlock()
		if left <= 0 {
			c.fail(errIdle)
		}
		return
	}
	silent := now.Sub(time.Unix(0, c.heard.Load()))
	switch {
	case silent < pingAfter:
		c.pinged = false
		c.watch.Reset(pingAfter - silent)
		c.mu.Unlock()
	case !c.pinged:
		c.pinged = true
		c.watch.Reset(pingTimeout)
		c.mu.Unlock()
		go c.write(kindPing, 0) // it may block where the other node does not read
	case silent < pingAfter+pingTimeout:
		c.watch.Reset(pingAfter + pingTimeout - silent)
		c.mu.Unlock()
	default:
		c.mu.Unlock()
		c.fail(errSilent)
	}
}

// write sends one frame. Frames of several goroutines go out together. It returns false if the connection has ended.
func (c *conn) write(kind byte, id uint32, parts ...[]byte) bool {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return false
	}
	c.out = appendFrame(c.out, kind, id, parts...)
	if c.flushing {
		c.mu.Unlock()
		return true
	}
	c.flushing = true
	c.mu.Unlock()
	runtime.Gosched() // others that have frames to send add theirs
	c.flush()
	return true
}

// writeHead sends the first frame of a call or a reply.
func (c *conn) writeHead(kind byte, id uint32, head, body []byte) bool {
	var size [binary.MaxVarintLen32]byte
	return c.write(kind, id, size[:binary.PutUvarint(size[:], uint64(len(head)))], head, body)
}

func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) > 0 && c.err == nil {
		b := c.out
		c.out = c.spare[:0]
		c.mu.Unlock()
		_, err := c.net.Write(b)
		c.mu.Lock()
		c.spare = nil
		if cap(b) <= keptBuffer {
			c.spare = b
		}
		if err != nil {
			c.mu.Unlock()
			c.fail(err)
			c.mu.Lock()
		}
	}
	c.flushing = false
}

// read takes frames until the connection ends.
func (c *conn) read() {
	r := bufio.NewReaderSize(c.net, readBuffer)
	var header [frameHeader]byte
	for {
		if _, err := io.ReadFull(r, header[:]); err != nil {
			c.fail(err)
			return
		}
		size := binary.BigEndian.Uint32(header[:])
		if size > mostPayload {
			c.fail(errFormat)
			return
		}
		var payload []byte
		if size > 0 {
			payload = make([]byte, size)
			if _, err := io.ReadFull(r, payload); err != nil {
				c.fail(err)
				return
			}
		}
		c.heard.Store(time.Now().UnixNano())
		if err := c.take(header[4], binary.BigEndian.Uint32(header[5:]), payload); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *conn) take(kind byte, id uint32, payload []byte) error {
	last := kind&flagLast != 0
	switch kind &^ flagLast {
	case kindPing:
		go c.write(kindPong, 0) // it may block, and frames must still be read
		return nil
	case kindPong:
		return nil
	case kindCall:
		head, body, ok := split(payload)
		if c.called == nil || !ok {
			return errFormat
		}
		c.called(c, id, head, body, last)
		return nil
	}
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s == nil {
		return nil // it has been given up
	}
	switch kind &^ flagLast {
	case kindReply:
		head, body, ok := split(payload)
		if s.head == nil || !ok {
			return errFormat
		}
		s.replied(head, body, last)
	case kindData:
		s.in.push(payload, last)
	case kindCredit:
		n, size := binary.Uvarint(payload)
		if size <= 0 {
			return errFormat
		}
		s.out.grant(int(min(n, window)))
	case kindAbort:
		s.broke(errors.New("the other node broke off"))
	default:
		return errFormat
	}
	return nil
}

// fail ends the connection with all of its streams.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	streams := c.streams
	c.streams, c.out = nil, nil
	c.watch.Stop()
	c.mu.Unlock()
	_ = c.net.Close() // its error says no more than err
	if c.gone != nil {
		c.gone(c)
	}
	for _, s := range streams {
		s.broke(err)
	}
}

func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}

// unused closes a connection without calls.
func (c *conn) unused() {
	c.mu.Lock()
	n := len(c.streams)
	c.mu.Unlock()
	if n == 0 {
		c.fail(errClosed)
	}
}
