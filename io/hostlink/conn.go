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
	pingAfter   = 700 * time.Millisecond // time without received data after which a connection with calls is pinged
	pingTimeout = 500 * time.Millisecond // time to wait for the pong
	// idleTimeout is the time after which a connection without calls is closed. Most pairs of nodes call each other
	// rarely, and pinging idle connections between all pairs would cost more than the calls.
	idleTimeout = 2 * time.Second
	// serverIdleTimeout is the time after which the accepting node closes a connection without calls. It only takes
	// effect if the calling node disappears without closing the connection.
	serverIdleTimeout = 5 * idleTimeout
	readBufferSize    = 16 << 10 // bytes
	// maxSpareBuffer is the size in bytes up to which a write buffer is reused.
	maxSpareBuffer = 64 << 10
)

var (
	errPingTimeout = errors.New("peer node did not respond to a ping")
	errIdle        = errors.New("idle connection")
	errClosed      = errors.New("closed")
	errProtocol    = errors.New("invalid frame")
)

// conn is a connection between two nodes, as seen from either end.
//
// A connection whose peer does not respond to a ping is silent. The peer may be gone, or it may only stand still or be
// cut off for some seconds. Calls that can be sent elsewhere, or that the peer may not have received, fail then. A call
// that the peer has received and that must not run twice is kept until its deadline: its reply may still arrive, and
// nobody else can give one.
type conn struct {
	net      net.Conn
	maxIdle  time.Duration // time without calls after which it is closed
	onCall   callHandler   // nil on the dialing side
	onClose  func(c *conn)
	onSilent func() // called when the connection turns silent
	usage    usage  // nil if nobody is to be told

	lastReceived atomic.Int64 // time of the last received frame, in Unix nanoseconds
	silent       atomic.Bool
	mu           sync.Mutex
	err          error // why the connection was closed
	streams      map[uint32]*stream
	retired      bool // accepts no further streams, and is closed after the last one
	lastID       uint32
	lastUsed     time.Time // when the last call ended
	pingSent     bool
	timer        *time.Timer
	writeBuf     []byte // frames not yet written
	spareBuf     []byte
	flushing     bool
}

// usage is told whether a connection has calls, by connections that can be closed for others when they have none.
type usage interface {
	Serving() bool // returns false if the connection has been closed
	Waiting()
}

// callHandler handles the first frame of a call. It must not block.
type callHandler func(c *conn, id uint32, head, body []byte, last bool)

func newConn(n net.Conn, maxIdle time.Duration, onCall callHandler, onClose func(*conn), onSilent func()) *conn {
	c := &conn{net: n, maxIdle: maxIdle, onCall: onCall, onClose: onClose, onSilent: onSilent, streams: map[uint32]*stream{}, lastUsed: time.Now()}
	c.lastReceived.Store(c.lastUsed.UnixNano())
	c.timer = time.AfterFunc(pingAfter, c.checkLiveness)
	return c
}

// openStream adds a stream on the dialing side. It returns false if the connection is closed, retired or silent.
func (c *conn) openStream(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.retired || c.silent.Load() {
		return false
	}
	c.lastID++
	s.conn, s.id = c, c.lastID
	c.addStream(s)
	return true
}

func (c *conn) addStream(s *stream) {
	if len(c.streams) == 0 {
		if c.usage != nil {
			c.usage.Serving()
		}
		c.lastReceived.Store(time.Now().UnixNano()) // an idle connection receives nothing, so the time counts from its first call
		c.pingSent = false
		c.timer.Reset(pingAfter)
	}
	c.streams[s.id] = s
}

// acceptStream adds a stream that the peer opened. It returns false if the connection is closed or has too many
// streams.
func (c *conn) acceptStream(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || len(c.streams) >= maxStreams {
		return false
	}
	c.addStream(s)
	return true
}

func (c *conn) removeStream(s *stream) {
	c.mu.Lock()
	delete(c.streams, s.id)
	unused := len(c.streams) == 0
	if unused {
		c.lastUsed = time.Now()
		if c.usage != nil {
			c.usage.Waiting()
		}
	}
	retired := c.retired
	c.mu.Unlock()
	if unused && retired {
		c.fail(errProtocol)
	}
}

// retire keeps further calls off the connection, because its peer has sent a broken reply. Those in flight go on: another
// error would leave their outcomes unknown.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// keep makes a stream stay open while the connection is silent.
func (c *conn) keep(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.kept = true
}

// checkLiveness runs on the timer. It ends calls in flight if the peer does not respond to a ping, and closes a connection
// without calls if it has been idle for too long.
func (c *conn) checkLiveness() {
	now := time.Now()
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	if len(c.streams) == 0 {
		remaining := c.maxIdle - now.Sub(c.lastUsed)
		if c.silent.Load() {
			remaining = 0
		}
		if remaining > 0 {
			c.timer.Reset(remaining)
		}
		c.mu.Unlock()
		if remaining <= 0 {
			c.fail(errIdle)
		}
		return
	}
	sinceReceived := now.Sub(time.Unix(0, c.lastReceived.Load()))
	switch {
	case sinceReceived < pingAfter:
		c.pingSent = false
		c.timer.Reset(pingAfter - sinceReceived)
		c.mu.Unlock()
	case !c.pingSent:
		c.pingSent = true
		c.timer.Reset(pingTimeout)
		c.mu.Unlock()
		go c.writeFrame(kindPing, 0) // may block while the peer does not read
	case sinceReceived < pingAfter+pingTimeout:
		c.timer.Reset(pingAfter + pingTimeout - sinceReceived)
		c.mu.Unlock()
	default:
		c.mu.Unlock()
		c.handlePingTimeout()
	}
}

// handlePingTimeout ends the calls that are not kept while the peer is silent, and the connection if there are no others.
func (c *conn) handlePingTimeout() {
	c.mu.Lock()
	var ended []*stream
	for id, s := range c.streams {
		if !s.kept {
			ended = append(ended, s)
			delete(c.streams, id)
		}
	}
	c.timer.Reset(pingAfter)
	keep := len(c.streams) > 0 && !c.flushing // a write that blocks would hold up its caller
	c.mu.Unlock()
	if !c.silent.Swap(true) {
		c.onSilent()
	}
	for _, s := range ended {
		s.abort(errPingTimeout)
	}
	if !keep {
		c.fail(errPingTimeout)
	}
}

// writeFrame writes a frame. Frames of concurrent callers are written together. It returns false if the connection is
// closed.
func (c *conn) writeFrame(kind byte, id uint32, parts ...[]byte) bool {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return false
	}
	c.writeBuf = appendFrame(c.writeBuf, kind, id, parts...)
	if c.flushing {
		c.mu.Unlock()
		return true
	}
	c.flushing = true
	c.mu.Unlock()
	if c.silent.Load() {
		go c.flush() // it may block, and the caller must go on
		return true
	}
	runtime.Gosched() // let other goroutines append their frames
	c.flush()
	return true
}

// writeHead writes the first frame of a call or a reply.
func (c *conn) writeHead(kind byte, id uint32, head, body []byte) bool {
	var size [binary.MaxVarintLen32]byte
	return c.writeFrame(kind, id, size[:binary.PutUvarint(size[:], uint64(len(head)))], head, body)
}

func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.writeBuf) > 0 && c.err == nil {
		b := c.writeBuf
		c.writeBuf = c.spareBuf[:0]
		c.mu.Unlock()
		_, err := c.net.Write(b)
		c.mu.Lock()
		c.spareBuf = nil
		if cap(b) <= maxSpareBuffer {
			c.spareBuf = b
		}
		if err != nil {
			c.mu.Unlock()
			c.fail(err)
			c.mu.Lock()
		}
	}
	c.flushing = false
}

// readFrames handles incoming frames until the connection is closed.
func (c *conn) readFrames() {
	r := bufio.NewReaderSize(c.net, readBufferSize)
	var header [frameHeaderSize]byte
	for {
		if _, err := io.ReadFull(r, header[:]); err != nil {
			c.fail(err)
			return
		}
		size := binary.BigEndian.Uint32(header[:])
		if size > maxPayload {
			c.fail(errProtocol)
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
		c.lastReceived.Store(time.Now().UnixNano())
		c.silent.Store(false)
		if err := c.handleFrame(header[4], binary.BigEndian.Uint32(header[5:]), payload); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *conn) handleFrame(kind byte, id uint32, payload []byte) error {
	last := kind&flagLast != 0
	switch kind &^ flagLast {
	case kindPing:
		go c.writeFrame(kindPong, 0) // it may block, and reading must go on
		return nil
	case kindPong:
		return nil
	case kindCall:
		head, body, ok := splitHead(payload)
		if c.onCall == nil || !ok {
			return errProtocol
		}
		c.onCall(c, id, head, body, last)
		return nil
	}
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s == nil {
		return nil // the call has ended or was canceled
	}
	switch kind &^ flagLast {
	case kindReply:
		head, body, ok := splitHead(payload)
		if s.head == nil || !ok {
			return errProtocol
		}
		if !s.handleReply(head, body, last) {
			return errProtocol
		}
	case kindData:
		if !s.recv.push(payload, last) {
			return errProtocol
		}
	case kindCredit:
		n, size := binary.Uvarint(payload)
		if size <= 0 {
			return errProtocol
		}
		s.window.add(int(min(n, WindowSize)))
	case kindReceived:
		c.keep(s)
	case kindAbort:
		s.abort(errors.New("stream aborted by peer node"))
	default:
		return errProtocol
	}
	return nil
}

// fail closes the connection and aborts all of its streams.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	streams := c.streams
	c.streams, c.writeBuf = nil, nil
	c.timer.Stop()
	c.mu.Unlock()
	if tcp, ok := c.net.(*net.TCPConn); ok && c.onCall == nil && errors.Is(err, errPingTimeout) {
		// Calls that have been given up must not arrive when the peer is back. The accepting side still delivers replies.
		_ = tcp.SetLinger(0) // if it fails, they may arrive
	}
	_ = c.net.Close() // a close error adds nothing to err
	if c.onClose != nil {
		c.onClose(c)
	}
	for _, s := range streams {
		s.abort(err)
	}
}

func (c *conn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}

// closeIfIdle closes the connection if it has no calls.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	n := len(c.streams)
	c.mu.Unlock()
	if n == 0 {
		c.fail(errClosed)
	}
}
