package outbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/stall"
)

const (
	// CheckPeriod is how often connections are judged.
	CheckPeriod = 100 * time.Millisecond
	// PingPath answers at once, so that a connection to a live peer shows bytes.
	PingPath    = "/mustardmast/v1/ping"
	dialTimeout = time.Second
	pingTimeout = 500 * time.Millisecond
)

// ConnMonitor watches the connections to one kind of peer and closes those that are silent although their peer is alive. A
// call on a closed connection fails like on any broken one, so the rules for broken connections apply to it.
type ConnMonitor struct {
	clock    mustardmast.Clock
	dialer   net.Dialer
	detector *stall.Detector
	numbers  atomic.Uint64
	tickets  atomic.Uint64
	ping     *http.Client
	closed   func()

	mu   sync.Mutex
	open map[stall.ConnID]*watched
}

// NewConnMonitor returns a watcher without connections. Connections are opened from the local address, so that a peer sees
// the address that this node is known by. Closed hears of each connection that is closed for its silence.
func NewConnMonitor(clock mustardmast.Clock, local net.IP, closed func()) *ConnMonitor {
	c := &ConnMonitor{clock: clock, closed: closed, detector: stall.New(stall.Defaults()), open: map[stall.ConnID]*watched{}}
	c.dialer.Timeout = dialTimeout
	if local != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	c.ping = &http.Client{Timeout: pingTimeout, Transport: &http.Transport{DialContext: c.Dial, DisableKeepAlives: true}}
	return c
}

// Dial opens a watched connection.
func (c *ConnMonitor) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	key := stall.ConnID{Peer: mustardmast.NodeID(xxhash.Sum64String(address)), Number: c.numbers.Add(1)}
	w := &watched{Conn: n, conns: c, key: key, address: address}
	if c.detector.Opened(c.clock.Now(), key) {
		c.mu.Lock()
		c.open[key] = w
		c.mu.Unlock()
	}
	return w, nil
}

// Check closes dead connections, and pings the peers of suspect ones so that there is something to compare with.
func (c *ConnMonitor) Check(now time.Time) {
	for _, v := range c.detector.Check(now) {
		c.mu.Lock()
		w, ok := c.open[v.Conn]
		c.mu.Unlock()
		switch {
		case !ok:
		case v.State == stall.Dead:
			_ = w.Close()
			c.closed()
		case v.State == stall.Suspect && c.detector.AllowOpen(now, v.Conn.Peer):
			go c.compare(w.address)
		}
	}
}

// compare opens one more connection to a peer. If bytes come back, the silent one is at fault and not the peer.
func (c *ConnMonitor) compare(address string) {
	res, err := c.ping.Get("http://" + address + PingPath)
	if err != nil {
		return // the peer itself does not answer
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// watched is a connection that tells the detector of its bytes.
type watched struct {
	net.Conn
	conns   *ConnMonitor
	key     stall.ConnID
	address string
	once    sync.Once
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.conns.detector.Received(w.conns.clock.Now(), w.key)
	}
	return n, err
}

func (w *watched) Close() error {
	w.once.Do(func() {
		w.conns.detector.Closed(w.conns.clock.Now(), w.key)
		w.conns.mu.Lock()
		delete(w.conns.open, w.key)
		w.conns.mu.Unlock()
	})
	return w.Conn.Close()
}

// use is one call's time on one connection.
type use struct {
	conns  *ConnMonitor
	ticket uint64
	call   stall.Call
	mu     sync.Mutex
	key    stall.ConnID
	on     bool
}

func (c *ConnMonitor) newUse(cl call.Call) *use {
	u := &use{conns: c, ticket: c.tickets.Add(1)}
	u.call = stall.Call{ID: u.ticket, Idempotent: cl.Idempotent(), Long: cl.Long()}
	return u
}

// got is called with the connection that the call was given, again if the transport changes it.
func (u *use) got(n net.Conn) {
	w, ok := n.(*watched)
	if !ok {
		return
	}
	u.end()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.key, u.on = w.key, true
	u.conns.detector.Queued(u.conns.clock.Now(), w.key, u.call)
}

func (u *use) wrote() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.on {
		u.conns.detector.Sent(u.conns.clock.Now(), u.key, u.ticket)
	}
}

func (u *use) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.on {
		u.conns.detector.Ended(u.conns.clock.Now(), u.key, u.ticket)
		u.on = false
	}
}
