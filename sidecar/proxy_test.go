package sidecar_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxy is a TCP proxy that can delay, reset or stall its connections, or drop the data from the server.
type proxy struct {
	listener    net.Listener
	to          string
	delay       atomic.Int64 // nanoseconds that each chunk of data is delayed
	dropReplies atomic.Bool  // data from the server is discarded

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	stalled        atomic.Bool // all data is discarded and neither end is closed
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
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		abort(client)
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(l, client, server, false) })
	both.Go(func() { p.forward(l, server, client, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_, _ = client.Close(), server.Close()
}

// forward copies the data of one direction until either end closes. Back is true for the direction to the client.
func (p *proxy) forward(l *link, from, to net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !l.stalled.Load() && !(back && p.dropReplies.Load()) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !l.stalled.Load() {
				_ = to.(*net.TCPConn).CloseWrite() // fails if the other end has been closed
			}
			return
		}
	}
}

// reset aborts all connections with a TCP reset.
func (p *proxy) reset() {
	for _, l := range p.current() {
		abort(l.client)
		abort(l.server)
	}
}

// stall makes the open connections discard all data from now on. New connections are not affected.
func (p *proxy) stall() {
	for _, l := range p.current() {
		l.stalled.Store(true)
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
	_ = c.(*net.TCPConn).SetLinger(0) // fails if the connection is closed
	_ = c.Close()
}
