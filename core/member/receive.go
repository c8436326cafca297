package member

import (
	"net/netip"
	"time"

	"mustardmast"
)

const minIntroduceInterval = 100 * time.Millisecond // between packets sent only to exchange full records

// Receive processes a packet from an address. The size is that of its encoding in bytes, without UDPOverhead.
func (m *Members) Receive(now time.Time, from netip.AddrPort, p Packet, size int) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	m.bucket.Charge(now, size+UDPOverhead)
	if p.From == m.self.member.ID || p.From == 0 {
		return Output{}
	}
	for _, u := range p.Updates {
		m.apply(at, u)
	}
	r := m.lookup(p.From)
	if r != nil {
		m.apply(at, Update{
			Member: mustardmast.Member{ID: p.From, State: p.State, RefutationCounter: p.Counter}, Brief: true,
		})
	}
	// A packet addressed to an earlier incarnation at this address is answered with this node's full record.
	addressed := p.To == 0 || p.To == m.self.member.ID
	introduce := p.Introduce || !addressed || p.To == 0
	switch p.Kind {
	case Ping:
		m.sendAck(now, from, r, p, introduce)
	case Ack:
		m.handleAck(now, at, p)
		m.exchangeRecords(now, at, from, r, p, introduce)
	case PingRequest:
		m.relayPing(now, at, from, p)
		m.exchangeRecords(now, at, from, r, p, introduce)
	case Gossip:
		m.exchangeRecords(now, at, from, r, p, introduce)
	}
	m.probeDomainSuspects(now)
	return m.takeOutput()
}

// sendAck acknowledges a ping, unless the budget is overdrawn by almost a whole burst.
func (m *Members) sendAck(now time.Time, from netip.AddrPort, r *record, p Packet, introduce bool) {
	if m.bucket.Level(now) <= -DefaultBurst+MaxPacket {
		return
	}
	ack := Packet{Kind: Ack, To: p.From, Sequence: p.Sequence, Introduce: r == nil}
	if r == nil {
		ack.Updates = m.addressHolder(from)
	}
	m.send(now, from, r, ack, introduce)
}

// exchangeRecords sends this node's full record if it was requested, and requests that of an unknown sender.
func (m *Members) exchangeRecords(now time.Time, at time.Duration, from netip.AddrPort, r *record, p Packet, introduce bool) {
	if !introduce && r != nil || at < m.introduceAt || m.bucket.Level(now) < MaxPacket {
		return
	}
	m.introduceAt = at + minIntroduceInterval
	reply := Packet{Kind: Gossip, To: p.From, Introduce: r == nil}
	if r == nil {
		reply.Updates = m.addressHolder(from)
	}
	m.send(now, from, r, reply, introduce)
}

// addressHolder returns the known record at an address. A new incarnation at that address learns from it whether it
// must advance its own start time.
func (m *Members) addressHolder(from netip.AddrPort) []Update {
	if h, ok := m.byAddr[from]; ok && h != m.self {
		return []Update{h.update(false)}
	}
	return nil
}

// handleAck completes the probe that an ack belongs to, or relays the ack to the node that requested the ping.
func (m *Members) handleAck(now time.Time, at time.Duration, p Packet) {
	for i, q := range m.pending {
		if q.sequence == p.Sequence {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			m.probeSucceeded(at, q, p)
			return
		}
	}
	for i, q := range m.relays {
		if q.sequence == p.Sequence && q.target == p.From {
			m.relays = append(m.relays[:i], m.relays[i+1:]...)
			m.send(now, q.origin, m.lookup(q.originID), Packet{
				Kind: Ack, To: q.originID, Sequence: q.originSequence, Target: q.target,
			}, false)
			return
		}
	}
}

func (m *Members) probeSucceeded(at time.Duration, q probe, p Packet) {
	if q.r == nil {
		if r := m.lookup(p.From); r != nil {
			m.requestSync(r)
		}
		return
	}
	m.localHealth.record(true)
	answered := p.From == q.id || p.Target == q.id
	if q.r.index < 0 || !answered {
		return
	}
	if q.r.localOnly {
		// Only this node suspected the member, and its own probe has disproved that.
		m.edit(q.r, func() { q.r.localOnly, q.r.liveness, q.r.changedAt = false, Alive, at })
	}
	if q.wasFaulty {
		if at >= m.recoveryUntil-recoveryPeriod/2 {
			m.requestSync(q.r)
		}
		m.recoveryUntil = at + recoveryPeriod
	}
}

// relayPing pings a member on behalf of another node.
func (m *Members) relayPing(now time.Time, at time.Duration, from netip.AddrPort, p Packet) {
	if !p.TargetAddress.IsValid() || m.bucket.Level(now) < 0 {
		return
	}
	if len(m.relays) >= maxRelays {
		m.relays = m.relays[1:]
	}
	m.sequence = max(m.sequence+1, 1)
	m.relays = append(m.relays, relay{
		sequence: m.sequence, target: p.Target, origin: from, originID: p.From, originSequence: p.Sequence, at: at,
	})
	m.send(now, p.TargetAddress, nil, Packet{Kind: Ping, To: p.Target, Sequence: m.sequence}, false)
}
