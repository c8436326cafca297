package hostlink_test

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards connections to an address. While it is paused, data waits in it, as it does for a host that stands still or
// is cut off for some seconds. When it is cut, its connections end as those of a killed process do: without an abort frame,
// and between two frames if nothing is being sent.
type relay struct {
	address string
	mu      sync.Mutex
	resumed sync.Cond
	paused  bool
	conns   []net.Conn
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{address: l.Addr().String()}
	r.resumed.L = &r.mu
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, client, server)
			r.mu.Unlock()
			go r.forward(client, server)
			go r.forward(server, client)
		}
	}()
	return r
}

func (r *relay) forward(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		for r.paused {
			r.resumed.Wait()
		}
		r.mu.Unlock()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

func (r *relay) pause(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = on
	r.resumed.Broadcast()
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}
