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
	"mustardmast/io/orderly"
	"mustardmast/io/rawhead"
	"mustardmast/io/strict"
)

const (
	// CheckPeriod is the interval at which Check must be called.
	CheckPeriod = 100 * time.Millisecond
	// PingPath is the path at which a peer responds immediately, so that a working connection to it receives bytes.
	PingPath    = "/mustardmast/v1/ping"
	dialTimeout = time.Second
	pingTimeout = 500 * time.Millisecond
)

// ConnMonitor monitors the connections to one kind of peer and closes those that are stalled although their peer is
// reachable. A call on a closed connection fails as on any broken connection, so the same rules apply to it. A
// ConnMonitor is safe for concurrent use.
type ConnMonitor struct {
	clock          mustardmast.Clock
	dialer         net.Dialer
	detector       *stall.Detector
	lastConnNumber atomic.Uint64
	lastCallID     atomic.Uint64
	ping           *http.Client
	onStalled      func()

	mu   sync.Mutex
	open map[stall.ConnID]*monitoredConn
}

// NewConnMonitor returns a monitor without connections. Connections are opened from the local address, if it is not
// nil, so that a peer sees the address by which this node is known. OnStalled is called for each stalled connection
// that is closed.
func NewConnMonitor(clock mustardmast.Clock, local net.IP, onStalled func()) *ConnMonitor {
	c := &ConnMonitor{clock: clock, onStalled: onStalled, detector: stall.New(stall.Defaults()), open: map[stall.ConnID]*monitoredConn{}}
	c.dialer.Timeout = dialTimeout
	if local != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	c.ping = &http.Client{Timeout: pingTimeout, Transport: strict.New(&http.Transport{DialContext: c.Dial, DisableKeepAlives: true}, rawhead.MaxInterim)}
	return c
}

// Dial opens a monitored connection.
func (c *ConnMonitor) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	key := stall.ConnID{Peer: mustardmast.NodeID(xxhash.Sum64String(address)), Number: c.lastConnNumber.Add(1)}
	mc := &monitoredConn{Conn: orderly.New(n), monitor: c, key: key, address: address}
	if c.detector.Opened(c.clock.Now(), key) {
		c.mu.Lock()
		c.open[key] = mc
		c.mu.Unlock()
	}
	return mc, nil
}

// Check closes dead connections. It pings the peers of suspect ones over new connections, to distinguish a stalled
// connection from a peer that does not respond.
func (c *ConnMonitor) Check(now time.Time) {
	for _, v := range c.detector.Check(now) {
		c.mu.Lock()
		mc, ok := c.open[v.Conn]
		c.mu.Unlock()
		switch {
		case !ok:
		case v.State == stall.Dead:
			_ = mc.Close()
			c.onStalled()
		case v.State == stall.Suspect && c.detector.AllowOpen(now, v.Conn.Peer):
			go c.pingPeer(mc.address)
		}
	}
}

// pingPeer sends a ping over a new connection to a peer. If the peer responds, the suspect connection is stalled.
func (c *ConnMonitor) pingPeer(address string) {
	res, err := c.ping.Get("http://" + address + PingPath)
	if err != nil {
		return // the peer does not respond on any connection
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// monitoredConn is a connection that reports received bytes to the detector.
type monitoredConn struct {
	*orderly.Conn
	monitor *ConnMonitor
	key     stall.ConnID
	address string
	once    sync.Once
}

func (mc *monitoredConn) Read(p []byte) (int, error) {
	n, err := mc.Conn.Read(p)
	if n > 0 {
		mc.monitor.detector.Received(mc.monitor.clock.Now(), mc.key)
	}
	return n, err
}

func (mc *monitoredConn) Close() error {
	mc.once.Do(func() {
		mc.monitor.detector.Closed(mc.monitor.clock.Now(), mc.key)
		mc.monitor.mu.Lock()
		delete(mc.monitor.open, mc.key)
		mc.monitor.mu.Unlock()
	})
	return mc.Conn.Close()
}

// connUse reports to the detector which connection a call uses.
type connUse struct {
	monitor *ConnMonitor
	callID  uint64
	call    stall.Call
	mu      sync.Mutex
	key     stall.ConnID
	active  bool
}

func (c *ConnMonitor) newConnUse(cl call.Call) *connUse {
	u := &connUse{monitor: c, callID: c.lastCallID.Add(1)}
	u.call = stall.Call{ID: u.callID, Idempotent: cl.Idempotent(), Long: cl.Long()}
	return u
}

// gotConn records the connection that the call is assigned to. It is called again if the transport changes it.
func (u *connUse) gotConn(n net.Conn) {
	mc, ok := n.(*monitoredConn)
	if !ok {
		return
	}
	u.ended()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.key, u.active = mc.key, true
	u.monitor.detector.Queued(u.monitor.clock.Now(), mc.key, u.call)
}

func (u *connUse) wroteHeaders() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.active {
		u.monitor.detector.Sent(u.monitor.clock.Now(), u.key, u.callID)
	}
}

func (u *connUse) ended() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.active {
		u.monitor.detector.Ended(u.monitor.clock.Now(), u.key, u.callID)
		u.active = false
	}
}
