package stall

import (
	"sync"
	"time"

	"mustardmast"
)

// Settings are the limits of a Detector.
type Settings struct {
	SuspectAfter   time.Duration // default 400 ms
	DeadAfter      time.Duration // default 850 ms, which leaves room for a Check every 100 ms within a second
	PauseThreshold time.Duration // time between Checks that counts as a pause of the own process; default 300 ms

	MaxConns        int     // most connections observed; default 8192; more are not judged
	MaxCallsPerConn int     // most calls observed per connection; default 1024; more are not listed in verdicts
	MaxConnsPerPeer int     // most connections to one peer; default 4
	PeerOpenRate    float64 // new connections to one peer a second; default 1, at most two at once
	TotalOpenRate   float64 // new connections to all peers a second; default 50, that is 5% of a core at 1 ms each
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

// ConnID names one connection.
type ConnID struct {
	Peer   mustardmast.NodeID
	Number uint64
}

// Call is one call on a connection.
type Call struct {
	ID         uint64
	Idempotent bool
	Long       bool
}

// State is the judgement on a connection.
type State uint8

// States.
const (
	Working State = iota
	Suspect       // compare it with another connection to the peer
	Dead          // close it
)

// Verdict is a change to Suspect or Dead.
type Verdict struct {
	Conn          ConnID
	State         State
	Resendable    []uint64 // tickets of calls that may be sent on another connection
	MaybeExecuted []uint64 // tickets of calls that may have run
}

const shards = 16

// Detector observes connections. It is safe for concurrent use.
type Detector struct {
	settings Settings
	shards   [shards]shard

	mu      sync.Mutex // guards what follows
	conns   int
	opening bucket
	checked time.Time
}

type shard struct {
	mu    sync.Mutex
	peers map[mustardmast.NodeID]*peer
}

// New returns a Detector without connections.
func New(s Settings) *Detector {
	d := &Detector{settings: s, opening: bucket{rate: s.TotalOpenRate, most: max(s.TotalOpenRate, 1)}}
	for i := range d.shards {
		d.shards[i].peers = map[mustardmast.NodeID]*peer{}
	}
	return d
}

// Opened adds a connection. It reports false at the bound, where the connection is not observed.
func (d *Detector) Opened(now time.Time, c ConnID) bool {
	if !d.count(1) {
		return false
	}
	fresh := false
	d.with(c.Peer, true, func(p *peer) {
		if _, ok := p.conns[c.Number]; !ok {
			p.conns[c.Number] = &conn{since: now, calls: map[uint64]*entry{}}
			fresh = true
		}
	})
	if !fresh {
		d.count(-1)
	}
	return fresh
}

// Closed removes a connection.
func (d *Detector) Closed(_ time.Time, c ConnID) {
	removed := false
	d.with(c.Peer, false, func(p *peer) {
		var n *conn
		if n, removed = p.conns[c.Number]; !removed {
			return
		}
		if n.state != Dead && n.bytes.After(p.ended) {
			p.ended = n.bytes
		}
		delete(p.conns, c.Number)
	})
	if removed {
		d.count(-1)
	}
}

// Queued puts a call on a connection of which no byte was sent yet.
func (d *Detector) Queued(now time.Time, c ConnID, call Call) {
	d.conn(c, func(_ *peer, n *conn) { n.queue(now, call, d.settings.MaxCallsPerConn) })
}

// Sent records that bytes of a queued call may have left.
func (d *Detector) Sent(_ time.Time, c ConnID, ticket uint64) {
	d.conn(c, func(_ *peer, n *conn) {
		if e, ok := n.calls[ticket]; ok {
			e.sent = true
		}
	})
}

// Received records bytes from the peer, of whatever kind.
func (d *Detector) Received(now time.Time, c ConnID) {
	d.conn(c, func(p *peer, n *conn) { n.seen(now) })
}

// Ended takes a call off its connection.
func (d *Detector) Ended(_ time.Time, c ConnID, ticket uint64) {
	d.conn(c, func(_ *peer, n *conn) { n.end(ticket) })
}

// AllowOpen reports whether another connection to the peer may be opened now, and counts it as opened. Connections to a
// peer without any are counted too, but only the limit over all peers can refuse them.
func (d *Detector) AllowOpen(now time.Time, id mustardmast.NodeID) bool {
	allowed := false
	d.with(id, true, func(p *peer) {
		if len(p.conns) >= d.settings.MaxConnsPerPeer || len(p.conns) > 0 && !p.opening.has(now) {
			return
		}
		d.mu.Lock()
		allowed = d.opening.take(now)
		d.mu.Unlock()
		if allowed {
			p.opening.take(now)
		}
	})
	return allowed
}

// Check returns the connections that became Suspect or Dead. It is called about every 100 ms.
func (d *Detector) Check(now time.Time) []Verdict {
	d.mu.Lock()
	paused := !d.checked.IsZero() && now.Sub(d.checked) > d.settings.PauseThreshold
	d.checked = now
	d.mu.Unlock()
	var verdicts []Verdict
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for id, p := range s.peers {
			verdicts = p.check(now, id, paused, &d.settings, verdicts)
			if len(p.conns) == 0 && p.opening.full(now) {
				delete(s.peers, id)
			}
		}
		s.mu.Unlock()
	}
	return verdicts
}

// Conns returns the number of connections observed.
func (d *Detector) Conns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns
}

func (d *Detector) count(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n > 0 && d.conns >= d.settings.MaxConns {
		return false
	}
	d.conns += n
	return true
}

// with runs f on a peer's record under its shard's lock.
func (d *Detector) with(id mustardmast.NodeID, create bool, f func(*peer)) {
	s := &d.shards[(uint64(id)*0x9e3779b97f4a7c15)>>60]
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[id]
	if !ok {
		if !create {
			return
		}
		p = &peer{conns: map[uint64]*conn{}, opening: bucket{rate: d.settings.PeerOpenRate, most: 2}}
		s.peers[id] = p
	}
	f(p)
}

func (d *Detector) conn(c ConnID, f func(*peer, *conn)) {
	d.with(c.Peer, false, func(p *peer) {
		if n, ok := p.conns[c.Number]; ok {
			f(p, n)
		}
	})
}
