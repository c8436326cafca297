package node_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/target/stub"
)

// relay forwards TCP connections. It can drop the bytes of the connections that are open.
type relay struct {
	listener net.Listener
	address  string
	mu       sync.Mutex
	conns    []*atomic.Bool
}

func newRelay(t *testing.T, address string) *relay {
	r := &relay{listener: listen(t), address: address}
	t.Cleanup(func() { r.listener.Close() })
	go func() {
		for {
			c, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return r
}

func (r *relay) forward(in net.Conn) {
	out, err := net.Dial("tcp", r.address)
	if err != nil {
		in.Close()
		return
	}
	var dropped atomic.Bool
	r.mu.Lock()
	r.conns = append(r.conns, &dropped)
	r.mu.Unlock()
	copyBytes := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if dropped.Load() {
				_, _ = io.Copy(io.Discard, src) // dropped without an error at either end
				return
			}
			if _, werr := dst.Write(buf[:n]); err != nil || werr != nil {
				dst.Close()
				src.Close()
				return
			}
		}
	}
	go copyBytes(in, out)
	copyBytes(out, in)
}

// dropOpenConns drops all further bytes of the connections that are open now.
func (r *relay) dropOpenConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dropped := range r.conns {
		dropped.Store(true)
	}
}

// Guards against a call that waits until its deadline on a connection whose packets are lost, although a new connection
// would work.
func TestStalledConnectionIsReplaced(t *testing.T) {
	c := newCluster(t, chainConfig())
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{Delay: 5 * time.Millisecond})
	relay := newRelay(t, last.member.Address.String())
	c.mu.Lock()
	last.member.Address = netip.MustParseAddrPort(relay.listener.Addr().String())
	c.mu.Unlock()
	for range 3 {
		assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	}
	relay.dropOpenConns()
	start := time.Now()
	res := send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Deadline-Ms", "2000")
	assert.Equal(t, res.status, 200, res.text)
	// The stall is detected within 1 s and the call is sent again; the rest allows for a loaded machine.
	assert.Assert(t, time.Since(start) < 1600*time.Millisecond, "%s", time.Since(start))
}

// Guards against a slow call that is mistaken for a stalled connection and runs twice.
func TestSlowCallIsNotAStall(t *testing.T) {
	c := newCluster(t, chainConfig())
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{Delay: 1500 * time.Millisecond})
	res := send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Deadline-Ms", "2000")
	assert.Equal(t, res.status, 200, res.text)
	assert.DeepEqual(t, last.target.Executions(), map[string]int{res.id: 1})
}
