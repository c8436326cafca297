package stall

import (
	"slices"
	"time"

	"mustardmast"
)

// peer is what is known of the connections to one peer.
type peer struct {
	conns   map[uint64]*conn
	opening bucket
	ended   time.Time // last bytes on a connection that was closed in working order
}

// conn is one connection. It owes an answer while owing is above zero.
type conn struct {
	calls map[uint64]*entry
	owing int
	since time.Time // start of the silence
	bytes time.Time // last bytes seen; zero if none
	state State
}

type entry struct {
	call Call
	sent bool
}

func (n *conn) queue(now time.Time, c Call, most int) {
	if _, ok := n.calls[c.ID]; ok || len(n.calls) >= most {
		return
	}
	n.calls[c.ID] = &entry{call: c}
	if c.Long {
		return
	}
	if n.owing == 0 {
		n.since = now
	}
	n.owing++
}

func (n *conn) end(ticket uint64) {
	e, ok := n.calls[ticket]
	if !ok {
		return
	}
	delete(n.calls, ticket)
	if !e.call.Long {
		n.owing--
	}
	if n.owing == 0 && n.state == Suspect {
		n.state = Working
	}
}

func (n *conn) seen(now time.Time) {
	n.since, n.bytes = now, now
	if n.state == Suspect {
		n.state = Working
	}
}

// check appends the verdicts on the connections of p.
func (p *peer) check(now time.Time, id mustardmast.NodeID, paused bool, s *Settings, to []Verdict) []Verdict {
	for number, n := range p.conns {
		if paused {
			n.since = now
		}
		if n.owing == 0 || n.state == Dead {
			continue
		}
		silence := now.Sub(n.since)
		switch {
		case silence >= s.DeadAfter && p.othersWork(number, n.since):
			n.state = Dead
			to = append(to, n.verdict(ConnID{Peer: id, Number: number}))
		case silence >= s.SuspectAfter && n.state == Working:
			n.state = Suspect
			to = append(to, n.verdict(ConnID{Peer: id, Number: number}))
		}
	}
	return to
}

// othersWork reports whether another connection showed bytes after the silence began.
func (p *peer) othersWork(number uint64, since time.Time) bool {
	if p.ended.After(since) {
		return true
	}
	for other, n := range p.conns {
		if other != number && n.state != Dead && n.bytes.After(since) {
			return true
		}
	}
	return false
}

// verdict lists the calls only for a dead connection; on a suspect one they stay.
func (n *conn) verdict(c ConnID) Verdict {
	v := Verdict{Conn: c, State: n.state}
	if n.state != Dead {
		return v
	}
	for t, e := range n.calls {
		if e.call.Idempotent || !e.sent {
			v.Resendable = append(v.Resendable, t)
		} else {
			v.MaybeExecuted = append(v.MaybeExecuted, t)
		}
	}
	slices.Sort(v.Resendable)
	slices.Sort(v.MaybeExecuted)
	return v
}

// bucket limits a rate. It starts full.
type bucket struct {
	rate, most float64
	used       float64
	at         time.Time
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.used = max(b.used-d.Seconds()*b.rate, 0)
		b.at = now
	}
}

func (b *bucket) has(now time.Time) bool {
	b.refill(now)
	return b.used+1 <= b.most
}

func (b *bucket) full(now time.Time) bool {
	b.refill(now)
	return b.used == 0
}

func (b *bucket) take(now time.Time) bool {
	if !b.has(now) {
		return false
	}
	b.used++
	return true
}
