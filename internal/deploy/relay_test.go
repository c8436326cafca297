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

// network relays the traffic to nodes and can block what passes between failure domains. Each domain has its own IP, by
// which the relays identify the source of traffic.
type network struct {
	t             testing.TB
	domains       map[string]string // by IP
	mu            sync.Mutex
	blocked       map[[2]string]bool
	dropDatagrams bool // of all traffic between domains
	conns         map[net.Conn][2]string
}

func newNetwork(t testing.TB, domains map[string]string) *network {
	return &network{t: t, domains: domains, blocked: map[[2]string]bool{}, conns: map[net.Conn][2]string{}}
}

// Cut blocks all traffic from one domain to another and closes the open connections in this direction.
func (n *network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = true
	for c, p := range n.conns {
		if p == [2]string{from, to} {
			c.Close()
		}
	}
}

// DropDatagrams blocks all datagrams between domains, but no connections.
func (n *network) DropDatagrams() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropDatagrams = true
}

// Heal lets all traffic pass again.
func (n *network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	n.dropDatagrams = false
}

// allowed reports whether traffic passes. With bidirectional, it has to pass in both directions, as TCP needs.
func (n *network) allowed(from, to string, bidirectional bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dropDatagrams && !bidirectional && from != to {
		return false
	}
	return !n.blocked[[2]string{from, to}] && (!bidirectional || !n.blocked[[2]string{to, from}])
}

func (n *network) domain(a net.Addr) string {
	ip, _, _ := strings.Cut(a.String(), ":")
	return n.domains[ip]
}

// relay starts a TCP and UDP relay in front of the node of domain that listens on to, and returns the relay's address.
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
	go n.relayTCP(l, domain, to)
	go n.relayUDP(u, domain, to)
	return l.Addr().String(), nil
}

func (n *network) relayTCP(l net.Listener, domain, to string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			from := n.domain(in.RemoteAddr())
			if !n.allowed(from, domain, true) {
				// As when packets are dropped, the client gets no error at once: the connection stays open without data.
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

// relayUDP forwards datagrams. Each source gets a socket of its own, so that replies can be sent back to it.
func (n *network) relayUDP(u *net.UDPConn, domain, to string) {
	node := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(to))
	sockets := map[string]*net.UDPConn{}
	b := make([]byte, 2048)
	for {
		k, src, err := u.ReadFromUDP(b)
		if err != nil {
			for _, c := range sockets {
				c.Close()
			}
			return
		}
		if !n.allowed(n.domain(src), domain, false) {
			continue
		}
		c, ok := sockets[src.String()]
		if !ok {
			if c, err = net.DialUDP("udp", nil, node); err != nil {
				continue
			}
			sockets[src.String()] = c
			go n.relayReplies(u, c, src, domain)
		}
		_, _ = c.Write(b[:k])
	}
}

func (n *network) relayReplies(u, c *net.UDPConn, src *net.UDPAddr, domain string) {
	b := make([]byte, 2048)
	for {
		k, err := c.Read(b)
		if err != nil {
			return
		}
		if n.allowed(domain, n.domain(src), false) {
			_, _ = u.WriteToUDP(b[:k], src)
		}
	}
}

// Guards against a relay that lets blocked traffic pass, with which every test of network partitions would be void.
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
