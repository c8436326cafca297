package sidecar_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxy passes the connections to one address on to another, and harms them as a test asks.
type proxy struct {
	listener net.Listener
	to       string
	delay    atomic.Int64 // nanoseconds that each piece is held
	deaf     atomic.Bool  // what the other side says does not come back

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	silent    atomic.Bool // nothing passes any more, and neither side is told
}

func newProxy(t testing.TB, at, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", at)
	assert.NilError(t, err)
	p := &proxy{listener: l, to: to, links: map[*link]struct{}{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	return p
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.open(near)
	}
}

func (p *proxy) open(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		abort(near)
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(l, near, far, false) })
	both.Go(func() { p.pass(l, far, near, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_, _ = near.Close(), far.Close()
}

// pass copies one direction until either end closes.
func (p *proxy) pass(l *link, from, to net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !l.silent.Load() && !(back && p.deaf.Load()) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !l.silent.Load() {
				_ = to.(*net.TCPConn).CloseWrite() // the other side may have gone
			}
			return
		}
	}
}

// reset ends all connections without a word.
func (p *proxy) reset() {
	for _, l := range p.current() {
		abort(l.near)
		abort(l.far)
	}
}

// silence makes the open connections pass nothing for good. New ones work.
func (p *proxy) silence() {
	for _, l := range p.current() {
		l.silent.Store(true)
	}
}

func (p *proxy) current() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*link
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

func abort(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // it may be closed
	_ = c.Close()
}
