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

// relay passes TCP connections on, and can swallow the bytes of those that are open.
type relay struct {
	l        net.Listener
	to       string
	mu       sync.Mutex
	silenced []*atomic.Bool
}

func newRelay(t *testing.T, to string) *relay {
	r := &relay{l: listen(t), to: to}
	t.Cleanup(func() { r.l.Close() })
	go func() {
		for {
			c, err := r.l.Accept()
			if err != nil {
				return
			}
			go r.pass(c)
		}
	}()
	return r
}

func (r *relay) pass(in net.Conn) {
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		in.Close()
		return
	}
	var silent atomic.Bool
	r.mu.Lock()
	r.silenced = append(r.silenced, &silent)
	r.mu.Unlock()
	copyTo := func(a, b net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := b.Read(buf)
			if silent.Load() {
				_, _ = io.Copy(io.Discard, b) // lost on the way, without an error to either end
				return
			}
			if _, werr := a.Write(buf[:n]); err != nil || werr != nil {
				a.Close()
				b.Close()
				return
			}
		}
	}
	go copyTo(in, out)
	copyTo(out, in)
}

// silence makes every connection that is open now lose its bytes for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.silenced {
		s.Store(true)
	}
}

// Guards against a call that waits for its deadline on a connection that lost its path, while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	l := newCluster(t, koper())
	first := l.add("socket-board", "koper-a", stub.Spec{})
	last := l.add("reefer-watch", "koper-a", stub.Spec{Delay: 5 * time.Millisecond})
	r := newRelay(t, last.member.Address.String())
	l.mu.Lock()
	last.member.Address = netip.MustParseAddrPort(r.l.Addr().String())
	l.mu.Unlock()
	for range 3 {
		assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	}
	r.silence()
	start := time.Now()
	a := send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Deadline-Ms", "2000")
	assert.Equal(t, a.status, 200, a.in)
	// Detection within 1 s and one more call, with room for a busy machine.
	assert.Assert(t, time.Since(start) < 1600*time.Millisecond, "%s", time.Since(start))
}

// Guards against a slow call that is taken for a silent connection and runs twice.
func TestSlowCallIsNotSilent(t *testing.T) {
	l := newCluster(t, koper())
	first := l.add("socket-board", "koper-a", stub.Spec{})
	last := l.add("reefer-watch", "koper-a", stub.Spec{Delay: 1500 * time.Millisecond})
	a := send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Deadline-Ms", "2000")
	assert.Equal(t, a.status, 200, a.in)
	assert.DeepEqual(t, last.target.Executions(), map[string]int{a.id: 1})
}
