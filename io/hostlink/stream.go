package hostlink

import (
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
)

// stream is a call on a connection.
type stream struct {
	conn      *conn
	id        uint32
	recv      *recvBuffer
	window    *sendWindow
	head      chan reply // nil on the serving side
	onAbort   func()     // called when the peer cancels the call or the connection is lost; may be nil
	kept      bool       // kept while the connection is silent; guarded by conn.mu
	replyOnce sync.Once
}

// reply is the first frame of a reply, or the reason why there is none.
type reply struct {
	head, body []byte
	last       bool
	err        error
}

func newStream() *stream {
	s := &stream{window: newSendWindow()}
	s.recv = newRecvBuffer(func(n int) {
		var b [binary.MaxVarintLen64]byte
		s.conn.writeFrame(kindCredit, s.id, b[:binary.PutUvarint(b[:], uint64(n))])
	})
	return s
}

// handleReply returns false if the body exceeds the window.
func (s *stream) handleReply(head, body []byte, last bool) bool {
	if !last && !s.recv.push(body, false) { // before further frames arrive
		return false
	}
	s.replyOnce.Do(func() { s.head <- reply{head: head, body: body, last: last} })
	return true
}

// abort ends the stream because the peer canceled it or the connection was lost.
func (s *stream) abort(err error) {
	s.recv.fail(err)
	s.window.fail(err)
	if s.head != nil {
		s.replyOnce.Do(func() { s.head <- reply{err: err} })
	}
	if s.onAbort != nil {
		s.onAbort()
	}
}

// finish removes the stream from the connection. Unless it is complete, it sends the peer an abort frame.
func (s *stream) finish(complete bool) {
	s.conn.removeStream(s)
	if !complete {
		s.conn.writeFrame(kindAbort, s.id)
	}
	s.recv.fail(errClosed)
	s.window.fail(errClosed)
}

// cancelTimeout is the time to wait for the response to a canceled call. Round trips within a region take milliseconds.
const cancelTimeout = 50 * time.Millisecond

// cancel cancels a call whose deadline has passed, and returns the peer's response, which tells whether the call has run.
// It returns false if there is none in time.
func (s *stream) cancel() (reply, bool) {
	s.conn.writeFrame(kindAbort, s.id)
	timer := time.NewTimer(cancelTimeout)
	defer timer.Stop()
	select {
	case r := <-s.head:
		return r, true
	case <-timer.C:
		return reply{}, false
	}
}

// sendError sends an error of this node in place of a reply. It returns false if the connection is closed.
func (s *stream) sendError(err error, report mustardmast.TargetReport) bool {
	return s.conn.writeHead(kindReply|flagLast, s.id, encodeError(fault.From(err), report), nil)
}

// sendBody sends a body read from r until EOF.
func (s *stream) sendBody(r io.Reader) error {
	buffer := make([]byte, chunkSize)
	for {
		n, err := r.Read(buffer)
		last := err == io.EOF // a wrapped io.EOF is a failure
		if err != nil && !last {
			return err
		}
		for part := buffer[:n]; ; {
			m, werr := s.window.acquire(len(part))
			if werr != nil {
				return werr
			}
			kind := byte(kindData)
			if last && m == len(part) {
				kind |= flagLast
			}
			if (m > 0 || last) && !s.conn.writeFrame(kind, s.id, part[:m]) {
				return errClosed
			}
			if part = part[m:]; len(part) == 0 {
				break
			}
		}
		if last {
			return nil
		}
	}
}

// monitor lets goroutines wait for a change of state or for the end of the stream.
type monitor struct {
	mu   sync.Mutex
	cond sync.Cond
	err  error // set once the stream has failed
}

func (m *monitor) init() { m.cond.L = &m.mu }

// update runs f under the lock and wakes all waiting goroutines.
func (m *monitor) update(f func()) {
	m.mu.Lock()
	f()
	m.mu.Unlock()
	m.cond.Broadcast()
}

// fail sets the error, unless there is one already, and wakes all waiting goroutines. The end of a connection is not the
// end of a body, so io.EOF becomes io.ErrUnexpectedEOF.
func (m *monitor) fail(err error) {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	m.update(func() {
		if m.err == nil {
			m.err = err
		}
	})
}

// recvBuffer holds an incoming body. Reads block until data arrives. After a failure, buffered data can be read only if
// it completes the body.
type recvBuffer struct {
	monitor
	grant      func(n int) // grants the sender n further bytes
	chunks     [][]byte
	unread     int // bytes in chunks
	uncredited int // bytes read since the last grant
	last       bool
}

func newRecvBuffer(grant func(int)) *recvBuffer {
	b := &recvBuffer{grant: grant}
	b.init()
	return b
}

// push adds received data. It returns false, and drops the data, if the sender has exceeded its window.
func (b *recvBuffer) push(p []byte, last bool) (ok bool) {
	b.update(func() {
		if ok = b.unread+len(p) <= WindowSize; !ok {
			return
		}
		if len(p) > 0 {
			b.chunks = append(b.chunks, p)
			b.unread += len(p)
		}
		b.last = b.last || last
	})
	return ok
}

// complete reports whether the whole body has been received.
func (b *recvBuffer) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Read implements io.Reader.
func (b *recvBuffer) Read(p []byte) (int, error) {
	n, grant, err := b.next(p)
	if grant > 0 {
		b.grant(grant)
	}
	return n, err
}

// next waits for data. Grant is the number of further bytes to grant the sender, 0 if none.
func (b *recvBuffer) next(p []byte) (n, grant int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.chunks) == 0 && !b.last && b.err == nil {
		b.cond.Wait()
	}
	switch {
	case !b.last && b.err != nil:
		return 0, 0, b.err
	case len(b.chunks) == 0:
		return 0, 0, io.EOF
	}
	n = copy(p, b.chunks[0])
	b.unread -= n
	if b.chunks[0] = b.chunks[0][n:]; len(b.chunks[0]) == 0 {
		b.chunks = b.chunks[1:]
	}
	if b.uncredited += n; b.uncredited >= creditThreshold && !b.last {
		grant, b.uncredited = b.uncredited, 0
	}
	return n, grant, nil
}

// sendWindow tracks how many bytes of a body may still be sent.
type sendWindow struct {
	monitor
	available int
}

func newSendWindow() *sendWindow {
	w := &sendWindow{available: WindowSize}
	w.init()
	return w
}

func (w *sendWindow) add(n int) { w.update(func() { w.available += n }) }

// reserve takes bytes that are sent with a head. The initial window always covers them.
func (w *sendWindow) reserve(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.available -= n
}

// acquire waits until some of n bytes may be sent, and returns how many.
func (w *sendWindow) acquire(n int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.err == nil && n > 0 && w.available <= 0 {
		w.cond.Wait()
	}
	if w.err != nil {
		return 0, w.err
	}
	m := min(n, w.available)
	w.available -= m
	return m, nil
}
