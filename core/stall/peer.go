package stall

import (
	"slices"
	"time"

	"mustardmast"
)

// peer holds the connections to one peer.
type peer struct {
	conns           map[uint64]*conn
	openLimiter     limiter
	closedLastBytes time.Time // latest bytes received on a connection that was closed and not Dead
}

// conn is one connection. It is expected to receive bytes while awaited is above zero.
type conn struct {
	calls       map[uint64]*trackedCall
	awaited     int       // short calls queued or sent
	silentSince time.Time // start of the silence
	lastBytes   time.Time // when bytes were last received; zero if never
	state       State
}

type trackedCall struct {
	call Call
	sent bool
}

func (n *conn) queue(now time.Time, c Call, maxCalls int) {
	if _, ok := n.calls[c.ID]; ok || len(n.calls) >= maxCalls {
		return
	}
	n.calls[c.ID] = &trackedCall{call: c}
	if c.Long {
		return
	}
	if n.awaited == 0 {
		n.silentSince = now
	}
	n.awaited++
}

func (n *conn) end(id uint64) {
	e, ok := n.calls[id]
	if !ok {
		return
	}
	delete(n.calls, id)
	if !e.call.Long {
		n.awaited--
	}
	if n.awaited == 0 && n.state == Suspect {
		n.state = Working
	}
}

func (n *conn) received(now time.Time) {
	n.silentSince, n.lastBytes = now, now
	if n.state == Suspect {
		n.state = Working
	}
}

// check appends the verdicts on the connections to p.
func (p *peer) check(now time.Time, id mustardmast.NodeID, paused bool, s *Settings, to []Verdict) []Verdict {
	for number, n := range p.conns {
		if paused {
			n.silentSince = now
		}
		if n.awaited == 0 || n.state == Dead {
			continue
		}
		silence := now.Sub(n.silentSince)
		switch {
		case silence >= s.DeadAfter && p.otherConnActive(number, n.silentSince):
			n.state = Dead
			to = append(to, n.verdict(ConnID{Peer: id, Number: number}))
		case silence >= s.SuspectAfter && n.state == Working:
			n.state = Suspect
			to = append(to, n.verdict(ConnID{Peer: id, Number: number}))
		}
	}
	return to
}

// otherConnActive reports whether another connection received bytes after the silence began.
func (p *peer) otherConnActive(number uint64, since time.Time) bool {
	if p.closedLastBytes.After(since) {
		return true
	}
	for other, n := range p.conns {
		if other != number && n.state != Dead && n.lastBytes.After(since) {
			return true
		}
	}
	return false
}

// verdict returns the verdict on n. It lists the calls only if n is Dead, because they stay on a suspect connection.
func (n *conn) verdict(c ConnID) Verdict {
	v := Verdict{Conn: c, State: n.state}
	if n.state != Dead {
		return v
	}
	for id, e := range n.calls {
		if e.call.Idempotent || !e.sent {
			v.Resendable = append(v.Resendable, id)
		} else {
			v.MaybeExecuted = append(v.MaybeExecuted, id)
		}
	}
	slices.Sort(v.Resendable)
	slices.Sort(v.MaybeExecuted)
	return v
}

// limiter is a token bucket. It starts with all tokens available.
type limiter struct {
	rate, capacity float64
	used           float64
	refilledAt     time.Time
}

func (b *limiter) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.used = max(b.used-d.Seconds()*b.rate, 0)
		b.refilledAt = now
	}
}

func (b *limiter) allows(now time.Time) bool {
	b.refill(now)
	return b.used+1 <= b.capacity
}

func (b *limiter) full(now time.Time) bool {
	b.refill(now)
	return b.used == 0
}

func (b *limiter) take(now time.Time) bool {
	if !b.allows(now) {
		return false
	}
	b.used++
	return true
}
