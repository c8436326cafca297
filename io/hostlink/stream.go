package hostlink

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
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

// send sends a body from r until it ends. First has been read already.
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

// inbox is a body that comes in. Reads wait for more of it.
type inbox struct {
	ready chan struct{}
	grant func(n int) // tells the sender that it may send n more bytes

	mu     sync.Mutex
	chunks [][]byte
	read   int // bytes read since the sender was told
	last   bool
	err    error
}

func newInbox(grant func(int)) *inbox { return &inbox{ready: make(chan struct{}, 1), grant: grant} }

func (b *inbox) signal() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *inbox) push(p []byte, last bool) {
	b.mu.Lock()
	if len(p) > 0 {
		b.chunks = append(b.chunks, p)
	}
	b.last = b.last || last
	b.mu.Unlock()
	b.signal()
}

// fail ends the body. What has come before is not read any more unless it is all of it.
func (b *inbox) fail(err error) {
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.mu.Unlock()
	b.signal()
}

// complete reports whether all of the body has come.
func (b *inbox) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Read implements io.Reader.
func (b *inbox) Read(p []byte) (int, error) {
	for {
		b.mu.Lock()
		if len(b.chunks) > 0 && (b.last || b.err == nil) {
			n := copy(p, b.chunks[0])
			if b.chunks[0] = b.chunks[0][n:]; len(b.chunks[0]) == 0 {
				b.chunks = b.chunks[1:]
			}
			grant := 0
			if b.read += n; b.read >= creditStep && !b.last {
				grant, b.read = b.read, 0
			}
			b.mu.Unlock()
			if grant > 0 {
				b.grant(grant)
			}
			return n, nil
		}
		last, err := b.last, b.err
		b.mu.Unlock()
		if last {
			return 0, io.EOF
		}
		if err != nil {
			return 0, err
		}
		<-b.ready
	}
}

// credit is how many bytes of a body may still be sent.
type credit struct {
	ready chan struct{}

	mu   sync.Mutex
	left int
	err  error
}

func newCredit() *credit { return &credit{ready: make(chan struct{}, 1), left: window} }

func (c *credit) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func (c *credit) grant(n int) {
	c.mu.Lock()
	c.left += n
	c.mu.Unlock()
	c.signal()
}

func (c *credit) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.signal()
}

// spend takes bytes that are sent with a head, for which the window is always large enough.
func (c *credit) spend(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left -= n
}

// take waits until some of n bytes may be sent, and returns how many.
func (c *credit) take(n int) (int, error) {
	for {
		c.mu.Lock()
		if c.err != nil {
			defer c.mu.Unlock()
			return 0, c.err
		}
		if m := min(n, c.left); m > 0 || n == 0 {
			c.left -= m
			c.mu.Unlock()
			return m, nil
		}
		c.mu.Unlock()
		<-c.ready
	}
}
