package hostlink

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
)

// stream is one call on a connection.
type stream struct {
	conn *conn
	id   uint32
	in   *inbox
	out  *credit
	head chan reply // nil at the end that is called
	left func()     // called when the other end gives the call up or the connection breaks; may be nil
	once sync.Once
}

// reply is the first frame of a reply.
type reply struct {
	head, body []byte
	last       bool
	err        error // why there is none
}

func newStream() *stream {
	s := &stream{out: newCredit()}
	s.in = newInbox(func(n int) {
		var b [binary.MaxVarintLen64]byte
		s.conn.write(kindCredit, s.id, b[:binary.PutUvarint(b[:], uint64(n))])
	})
	return s
}

func (s *stream) replied(head, body []byte, last bool) {
	if !last {
		s.in.push(body, false) // before the frames that follow
	}
	s.once.Do(func() { s.head <- reply{head: head, body: body, last: last} })
}

// broke ends the stream from the other side.
func (s *stream) broke(err error) {
	s.in.fail(err)
	s.out.fail(err)
	if s.head != nil {
		s.once.Do(func() { s.head <- reply{err: err} })
	}
	if s.left != nil {
		s.left()
	}
}

// end takes the stream off the connection. If it is not complete, the other end is told.
func (s *stream) end(complete bool) {
	s.conn.remove(s)
	if !complete {
		s.conn.write(kindAbort, s.id)
	}
	s.in.fail(errClosed)
	s.out.fail(errClosed)
}

// refuse sends an error of this node in the place of a reply. It returns false if the connection has ended.
func (s *stream) refuse(err error, report mustardmast.TargetReport) bool {
	return s.conn.writeHead(kindReply|flagLast, s.id, encodeError(fault.From(err), report), nil)
}

// send sends a body from r until it ends.
func (s *stream) send(r io.Reader) error {
	buffer := make([]byte, chunk)
	for {
		n, err := r.Read(buffer)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			return err
		}
		for part := buffer[:n]; ; {
			m, werr := s.out.take(len(part))
			if werr != nil {
				return werr
			}
			kind := byte(kindData)
			if last && m == len(part) {
				kind |= flagLast
			}
			if (m > 0 || last) && !s.conn.write(kind, s.id, part[:m]) {
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

// gate is where a goroutine waits for what another one brings, or for the end of the stream.
type gate struct {
	mu      sync.Mutex
	changed sync.Cond
	err     error // why nothing more comes
}

func (g *gate) init() { g.changed.L = &g.mu }

// change runs f and wakes who waits.
func (g *gate) change(f func()) {
	g.mu.Lock()
	f()
	g.mu.Unlock()
	g.changed.Broadcast()
}

// fail ends it. The first reason counts.
func (g *gate) fail(err error) {
	g.change(func() {
		if g.err == nil {
			g.err = err
		}
	})
}

// inbox is a body that comes in. Reads wait for more of it. Once it has failed, what came before is read only if it is all
// of it.
type inbox struct {
	gate
	grant  func(n int) // tells the sender that it may send n more bytes
	chunks [][]byte
	read   int // bytes read since the sender was told
	last   bool
}

func newInbox(grant func(int)) *inbox {
	b := &inbox{grant: grant}
	b.init()
	return b
}

func (b *inbox) push(p []byte, last bool) {
	b.change(func() {
		if len(p) > 0 {
			b.chunks = append(b.chunks, p)
		}
		b.last = b.last || last
	})
}

// complete reports whether all of the body has come.
func (b *inbox) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Read implements io.Reader.
func (b *inbox) Read(p []byte) (int, error) {
	n, grant, err := b.next(p)
	if grant > 0 {
		b.grant(grant)
	}
	return n, err
}

// next waits for bytes. Grant is how many more the sender may be told to send.
func (b *inbox) next(p []byte) (n, grant int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.chunks) == 0 && !b.last && b.err == nil {
		b.changed.Wait()
	}
	switch {
	case !b.last && b.err != nil:
		return 0, 0, b.err
	case len(b.chunks) == 0:
		return 0, 0, io.EOF
	}
	n = copy(p, b.chunks[0])
	if b.chunks[0] = b.chunks[0][n:]; len(b.chunks[0]) == 0 {
		b.chunks = b.chunks[1:]
	}
	if b.read += n; b.read >= creditStep && !b.last {
		grant, b.read = b.read, 0
	}
	return n, grant, nil
}

// credit is how many bytes of a body may still be sent.
type credit struct {
	gate
	left int
}

func newCredit() *credit {
	c := &credit{left: window}
	c.init()
	return c
}

func (c *credit) grant(n int) { c.change(func() { c.left += n }) }

// spend takes bytes that are sent with a head, for which the window is always large enough.
func (c *credit) spend(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left -= n
}

// take waits until some of n bytes may be sent, and returns how many.
func (c *credit) take(n int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && n > 0 && c.left <= 0 {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	m := min(n, c.left)
	c.left -= m
	return m, nil
}
