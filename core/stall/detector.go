package stall

import (
	"sync"
	"time"

	"mustardmast"
)

// Settings configure a Detector.
type Settings struct {
	SuspectAfter   time.Duration // default 400 ms
	DeadAfter      time.Duration // default 850 ms, so that a Check every 100 ms finds a dead connection within a second
	PauseThreshold time.Duration // longer gap between Checks that means this process was paused; default 300 ms

	MaxConns        int     // max connections observed; default 8192; further ones are ignored
	MaxCallsPerConn int     // max calls observed per connection; default 1024; further ones are not in verdicts
	MaxConnsPerPeer int     // max connections to one peer; default 4
	PeerOpenRate    float64 // new connections to one peer per second, with a burst of two; default 1
	TotalOpenRate   float64 // new connections to all peers per second; default 50, or 5% of a core at 1 ms each
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		SuspectAfter:    400 * time.Millisecond,
		DeadAfter:       850 * time.Millisecond,
		PauseThreshold:  300 * time.Millisecond,
		MaxConns:        8192,
		MaxCallsPerConn: 1024,
		MaxConnsPerPeer: 4,
		PeerOpenRate:    1,
		TotalOpenRate:   50,
	}
}

// ConnID identifies a connection.
type ConnID struct {
	Peer   mustardmast.NodeID
	Number uint64
}

// Call is one call on a connection.
type Call struct {
	ID         uint64 // unique on its connection
	Idempotent bool
	Long       bool // whether the declared cost class is long
}

// State is the state of a connection.
type State uint8

// States of a connection.
const (
	Working State = iota
	Suspect       // should be compared with another connection to the peer
	Dead          // must be closed
)

// Verdict reports a connection that became Suspect or Dead. The calls are listed only for a Dead one.
type Verdict struct {
	Conn          ConnID
	State         State
	Resendable    []uint64 // IDs of calls that may be sent again on another connection
	MaybeExecuted []uint64 // IDs of calls that may have been executed
}

const shards = 16

// Detector observes connections and finds stalled ones. It is safe for concurrent use.
type Detector struct {
	settings Settings
	shards   [shards]shard

	mu          sync.Mutex // guards the fields below
	conns       int
	openLimiter limiter
	lastCheck   time.Time
}

type shard struct {
	mu    sync.Mutex
	peers map[mustardmast.NodeID]*peer
}

// New returns a Detector without connections.
func New(s Settings) *Detector {
	d := &Detector{settings: s, openLimiter: limiter{rate: s.TotalOpenRate, capacity: max(s.TotalOpenRate, 1)}}
	for i := range d.shards {
		d.shards[i].peers = map[mustardmast.NodeID]*peer{}
	}
	return d
}

// Opened adds a connection. It returns false if MaxConns connections are observed already, so that this one is not, or
// if it was added before.
func (d *Detector) Opened(now time.Time, c ConnID) bool {
	if !d.addConns(1) {
		return false
	}
	added := false
	d.withPeer(c.Peer, true, func(p *peer) {
		if _, ok := p.conns[c.Number]; !ok {
			p.conns[c.Number] = &conn{silentSince: now, calls: map[uint64]*trackedCall{}}
			added = true
		}
	})
	if !added {
		d.addConns(-1)
	}
	return added
}

// Closed removes a connection.
func (d *Detector) Closed(_ time.Time, c ConnID) {
	removed := false
	d.withPeer(c.Peer, false, func(p *peer) {
		var n *conn
		if n, removed = p.conns[c.Number]; !removed {
			return
		}
		if n.state != Dead && n.lastBytes.After(p.closedLastBytes) {
			p.closedLastBytes = n.lastBytes
		}
		delete(p.conns, c.Number)
	})
	if removed {
		d.addConns(-1)
	}
}

// Queued assigns a call to a connection. No byte of the call has been sent yet.
func (d *Detector) Queued(now time.Time, c ConnID, call Call) {
	d.conn(c, func(_ *peer, n *conn) { n.queue(now, call, d.settings.MaxCallsPerConn) })
}

// Sent records that bytes of a queued call may have been sent.
func (d *Detector) Sent(_ time.Time, c ConnID, id uint64) {
	d.conn(c, func(_ *peer, n *conn) {
		if e, ok := n.calls[id]; ok {
			e.sent = true
		}
	})
}

// Received records that bytes of any kind arrived from the peer.
func (d *Detector) Received(now time.Time, c ConnID) {
	d.conn(c, func(p *peer, n *conn) { n.received(now) })
}

// Ended removes a call from its connection.
func (d *Detector) Ended(_ time.Time, c ConnID, id uint64) {
	d.conn(c, func(_ *peer, n *conn) { n.end(id) })
}

// AllowOpen reports whether another connection to the peer may be opened now, and if so counts it against the rate
// limits. The first connection to a peer is counted too, but only the limit over all peers can reject it.
func (d *Detector) AllowOpen(now time.Time, id mustardmast.NodeID) bool {
	allowed := false
	d.withPeer(id, true, func(p *peer) {
		if len(p.conns) >= d.settings.MaxConnsPerPeer || len(p.conns) > 0 && !p.openLimiter.allows(now) {
			return
		}
		d.mu.Lock()
		allowed = d.openLimiter.take(now)
		d.mu.Unlock()
		if allowed {
			p.openLimiter.take(now)
		}
	})
	return allowed
}

// Check returns the connections that became Suspect or Dead. Call it about every 100 ms.
func (d *Detector) Check(now time.Time) []Verdict {
	d.mu.Lock()
	paused := !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > d.settings.PauseThreshold
	d.lastCheck = now
	d.mu.Unlock()
	var verdicts []Verdict
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for id, p := range s.peers {
			verdicts = p.check(now, id, paused, &d.settings, verdicts)
			if len(p.conns) == 0 && p.openLimiter.full(now) {
				delete(s.peers, id)
			}
		}
		s.mu.Unlock()
	}
	return verdicts
}

// Conns returns the number of observed connections.
func (d *Detector) Conns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns
}

// addConns adds n to the number of connections. It returns false if that would exceed the limit.
func (d *Detector) addConns(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n > 0 && d.conns >= d.settings.MaxConns {
		return false
	}
	d.conns += n
	return true
}

// withPeer calls f with a peer while it holds the lock of the peer's shard.
func (d *Detector) withPeer(id mustardmast.NodeID, create bool, f func(*peer)) {
	s := &d.shards[(uint64(id)*0x9e3779b97f4a7c15)>>60]
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[id]
	if !ok {
		if !create {
			return
		}
		p = &peer{conns: map[uint64]*conn{}, openLimiter: limiter{rate: d.settings.PeerOpenRate, capacity: 2}}
		s.peers[id] = p
	}
	f(p)
}

// conn calls f with a connection, if it is observed, while it holds the lock of the peer's shard.
func (d *Detector) conn(c ConnID, f func(*peer, *conn)) {
	d.withPeer(c.Peer, false, func(p *peer) {
		if n, ok := p.conns[c.Number]; ok {
			f(p, n)
		}
	})
}
