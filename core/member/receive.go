package member

import (
	"net/netip"
	"time"

	"mustardmast"
)

const askEvery = 100 * time.Millisecond // at most one unasked introduction in this time

// Receive takes in one datagram of size bytes that came from an address.
func (m *Members) Receive(now time.Time, from netip.AddrPort, p Packet, size int) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	m.bucket.Charge(now, size+Overhead)
	if p.From == m.self.member.ID || p.From == 0 {
		return Output{}
	}
	for _, u := range p.Updates {
		m.apply(at, u)
	}
	r := m.known(p.From)
	if r != nil {
		m.apply(at, Update{
			Member: mustardmast.Member{ID: p.From, State: p.State, Counter: p.Counter}, Brief: true,
		})
	}
	// A datagram for an earlier incarnation at this address is answered with this node's own record.
	meant := p.To == 0 || p.To == m.self.member.ID
	introduce := p.Introduce || !meant || p.To == 0
	switch p.Kind {
	case Ping:
		m.answer(now, from, r, p, introduce)
	case Ack:
		m.acked(now, at, p)
		m.greet(now, at, from, r, p, introduce)
	case PingRequest:
		m.relayPing(now, at, from, p)
		m.greet(now, at, from, r, p, introduce)
	case Gossip:
		m.greet(now, at, from, r, p, introduce)
	}
	m.checkHearsay(now)
	return m.take()
}

// answer acks a ping, unless others have overdrawn this node's budget by a whole burst.
func (m *Members) answer(now time.Time, from netip.AddrPort, r *record, p Packet, introduce bool) {
	if m.bucket.Level(now) <= -DefaultBurst+MaxPacket {
		return
	}
	ack := Packet{Kind: Ack, To: p.From, Sequence: p.Sequence, Introduce: r == nil}
	if r == nil {
		ack.Updates = m.holderOf(from)
	}
	m.send(now, from, r, ack, introduce)
}

// greet answers requests for this node's record, and asks a sender that is not known for its own.
func (m *Members) greet(now time.Time, at time.Duration, from netip.AddrPort, r *record, p Packet, introduce bool) {
	if !introduce && r != nil || at < m.askedAt || m.bucket.Level(now) < MaxPacket {
		return
	}
	m.askedAt = at + askEvery
	hello := Packet{Kind: Gossip, To: p.From, Introduce: r == nil}
	if r == nil {
		hello.Updates = m.holderOf(from)
	}
	m.send(now, from, r, hello, introduce)
}

// holderOf returns the record that holds an address. The sender at that address learns from it that its own start
// time is too early.
func (m *Members) holderOf(from netip.AddrPort) []Update {
	if h, ok := m.byAddr[from]; ok && h != m.self {
		return []Update{h.update(false)}
	}
	return nil
}

func (m *Members) acked(now time.Time, at time.Duration, p Packet) {
	for i, q := range m.pending {
		if q.sequence == p.Sequence {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			m.probeAnswered(at, q, p)
			return
		}
	}
	for i, q := range m.relays {
		if q.sequence == p.Sequence && q.target == p.From {
			m.relays = append(m.relays[:i], m.relays[i+1:]...)
			m.send(now, q.origin, m.known(q.originID), Packet{
				Kind: Ack, To: q.originID, Sequence: q.wanted, Target: q.target,
			}, false)
			return
		}
	}
}

func (m *Members) probeAnswered(at time.Duration, q probe, p Packet) {
	if q.r == nil {
		if r := m.known(p.From); r != nil {
			m.askSync(r)
		}
		return
	}
	m.health.note(true)
	answered := p.From == q.id || p.Target == q.id
	if q.r.index < 0 || !answered {
		return
	}
	if q.r.private {
		// The doubt was this node's alone, and its own probe has disproved it.
		m.edit(q.r, func() { q.r.private, q.r.doubt, q.r.since = false, Alive, at })
	}
	if q.lost {
		if at >= m.healUntil-healingFor/2 {
			m.askSync(q.r)
		}
		m.healUntil = at + healingFor
	}
}

func (m *Members) relayPing(now time.Time, at time.Duration, from netip.AddrPort, p Packet) {
	if !p.TargetAddress.IsValid() || m.bucket.Level(now) < 0 {
		return
	}
	if len(m.relays) >= maxRelays {
		m.relays = m.relays[1:]
	}
	m.sequence = max(m.sequence+1, 1)
	m.relays = append(m.relays, relay{
		sequence: m.sequence, target: p.Target, origin: from, originID: p.From, wanted: p.Sequence, at: at,
	})
	m.send(now, p.TargetAddress, nil, Packet{Kind: Ping, To: p.Target, Sequence: m.sequence}, false)
}
