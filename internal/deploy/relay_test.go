package deploy_test

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// network carries what passes between failure domains and can cut it. Each domain has an IP of its own, which tells
// the relays where traffic comes from.
type network struct {
	t       testing.TB
	domains map[string]string // by IP
	mu      sync.Mutex
	cut     map[[2]string]bool
	muted   bool // no datagrams pass between domains
	conns   map[net.Conn][2]string
}

func newNetwork(t testing.TB, domains map[string]string) *network {
	return &network{t: t, domains: domains, cut: map[[2]string]bool{}, conns: map[net.Conn][2]string{}}
}

// Cut stops all traffic from one domain to another, also on connections that are open.
func (n *network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = true
	for c, p := range n.conns {
		if p == [2]string{from, to} {
			c.Close()
		}
	}
}

// Mute stops all datagrams between domains, while connections work.
func (n *network) Mute() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muted = true
}

// Heal ends all cuts.
func (n *network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.muted = false
}

// open reports whether traffic passes. A cut in either direction stops TCP.
func (n *network) open(from, to string, both bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.muted && !both && from != to {
		return false
	}
	return !n.cut[[2]string{from, to}] && (!both || !n.cut[[2]string{to, from}])
}

func (n *network) domain(a net.Addr) string {
	ip, _, _ := strings.Cut(a.String(), ":")
	return n.domains[ip]
}

// relay starts a relay in front of the node that listens on to, in domain, and returns its address.
func (n *network) relay(domain, to string) (string, error) {
	ip, _, _ := strings.Cut(to, ":")
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.Addr().String())))
	if err != nil {
		return "", err
	}
	n.t.Cleanup(func() {
		l.Close()
		u.Close()
	})
	go n.tcp(l, domain, to)
	go n.udp(u, domain, to)
	return l.Addr().String(), nil
}

func (n *network) tcp(l net.Listener, domain, to string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			from := n.domain(in.RemoteAddr())
			if !n.open(from, domain, true) {
				// A cut gives no answer; the connection stays open and silent until its sender gives up.
				time.Sleep(2 * time.Second)
				in.Close()
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				return
			}
			n.mu.Lock()
			n.conns[in] = [2]string{from, domain}
			n.mu.Unlock()
			go pipe(in, out)
			pipe(out, in)
			n.mu.Lock()
			delete(n.conns, in)
			n.mu.Unlock()
		}()
	}
}

func pipe(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if _, werr := to.Write(b[:n]); err != nil || werr != nil {
			return
		}
	}
}

// udp passes datagrams on, each source from a socket of its own so that answers find their way back.
func (n *network) udp(u *net.UDPConn, domain, to string) {
	node := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(to))
	back := map[string]*net.UDPConn{}
	b := make([]byte, 2048)
	for {
		k, src, err := u.ReadFromUDP(b)
		if err != nil {
			for _, c := range back {
				c.Close()
			}
			return
		}
		if !n.open(n.domain(src), domain, false) {
			continue
		}
		c, ok := back[src.String()]
		if !ok {
			if c, err = net.DialUDP("udp", nil, node); err != nil {
				continue
			}
			back[src.String()] = c
			go n.answers(u, c, src, domain)
		}
		_, _ = c.Write(b[:k])
	}
}

func (n *network) answers(u, c *net.UDPConn, src *net.UDPAddr, domain string) {
	b := make([]byte, 2048)
	for {
		k, err := c.Read(b)
		if err != nil {
			return
		}
		if n.open(domain, n.domain(src), false) {
			_, _ = u.WriteToUDP(b[:k], src)
		}
	}
}

// Guards against a relay that lets traffic through a cut, which would make every test of cuts pass for nothing.
func TestRelayCuts(t *testing.T) {
	n := newNetwork(t, map[string]string{"127.0.0.1": "a"})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go pipe(c, c)
		}
	}()
	at, err := n.relay("b", l.Addr().String())
	assert.NilError(t, err)
	echo := func() bool {
		c, err := net.Dial("tcp", at)
		if err != nil {
			return false
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Write([]byte("x"))
		k, _ := c.Read(make([]byte, 1))
		return k == 1
	}
	assert.Assert(t, echo())
	n.Cut("a", "b")
	assert.Assert(t, !echo())
	n.Heal()
	assert.Assert(t, echo())
}
