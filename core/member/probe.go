package member

import (
	"net/netip"
	"time"

	"mustardmast"
)

// probe is one ping that waits for its ack.
type probe struct {
	sequence uint32
	r        *record // nil for a seed
	id       mustardmast.NodeID
	at       time.Duration
	indirect bool
	lost     bool // the member was unreachable already
}

// relay is a ping sent on behalf of another node.
type relay struct {
	sequence uint32
	target   mustardmast.NodeID
	origin   netip.AddrPort
	originID mustardmast.NodeID
	wanted   uint32
	at       time.Duration
}

// health remembers how the last probes ended. A node most of whose probes fail is probably the one that cannot be
// reached, so it keeps its suspicions to itself; otherwise it would have every other node suspected in turn.
type health struct{ failures uint8 }

func (h *health) note(ok bool) {
	h.failures <<= 1
	if !ok {
		h.failures |= 1
	}
}

// impaired says whether three of the last four probes failed.
func (h *health) impaired() bool {
	n := 0
	for f := h.failures & 15; f != 0; f >>= 1 {
		n += int(f & 1)
	}
	return n >= 3
}

// Tick advances all timers. It is meant to be called every 100 ms.
func (m *Members) Tick(now time.Time) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	if gap := at - m.lastTick; gap > pauseGap {
		m.resume(gap)
	}
	m.lastTick = at
	m.checkProbes(now, at)
	m.expire(at)
	if m.self.declared != mustardmast.Left {
		m.startProbes(now, at)
	}
	if at >= m.syncAt {
		m.syncedAt = at
		m.syncAt = at + syncEvery*3/4 + time.Duration(m.rng.Int64N(int64(syncEvery/2)))
		m.askSync(m.pick(2, 0)...)
	}
	if at >= m.reapAt {
		m.reapAt = at + reapEvery
		m.reap(at)
	}
	m.flushUrgent(now)
	return m.take()
}

// resume treats a pause of this process as time in which nobody could have answered.
func (m *Members) resume(gap time.Duration) {
	m.pending, m.relays = nil, nil
	for _, r := range m.suspects {
		r.due += gap
	}
}

func (m *Members) checkProbes(now time.Time, at time.Duration) {
	kept := m.pending[:0]
	for _, p := range m.pending {
		switch waited := at - p.at; {
		case waited >= ProbePeriod:
			m.probeFailed(at, p)
			continue
		case waited >= indirectAfter && !p.indirect && p.r != nil && !p.lost:
			p.indirect = true
			for _, helper := range m.pick(indirectProbes, p.id) {
				m.sendTo(now, helper, Packet{
					Kind: PingRequest, Sequence: p.sequence, Target: p.id, TargetAddress: p.r.member.Address,
				})
			}
		}
		kept = append(kept, p)
	}
	m.pending = kept
	for len(m.relays) > 0 && at-m.relays[0].at >= ProbePeriod {
		m.relays = m.relays[1:]
	}
}

func (m *Members) probeFailed(at time.Duration, p probe) {
	if p.r == nil || p.lost || p.r.index < 0 || p.r.declared == mustardmast.Left {
		return
	}
	m.health.note(false)
	if p.r.doubt == Alive {
		m.suspect(at, p.r)
	}
}

// suspect begins a suspicion of this node's own.
func (m *Members) suspect(at time.Duration, r *record) {
	m.edit(r, func() {
		r.doubt, r.private, r.since, r.due = Suspected, m.health.impaired(), at, at+m.suspicionTime()
	})
	if !r.private {
		m.queue.add(r, false)
	}
}

// expire makes suspected members unreachable whose time to refute is over.
func (m *Members) expire(at time.Duration) {
	kept := m.suspects[:0]
	for _, r := range m.suspects {
		if r.index < 0 || r.doubt != Suspected || r.declared == mustardmast.Left {
			r.watched = false
			continue
		}
		if at < r.due {
			kept = append(kept, r)
			continue
		}
		r.watched = false
		m.edit(r, func() { r.doubt, r.since = Faulty, at })
		if !r.private {
			m.queue.add(r, false)
		}
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
}

func (m *Members) startProbes(now time.Time, at time.Duration) {
	if at >= m.probeAt {
		m.probeAt = max(m.probeAt+ProbePeriod, at+ProbePeriod/2)
		if r := m.nextProbe(); r != nil {
			m.probe(now, at, r)
		} else if len(m.seeds) > 0 {
			m.probeSeed(now, at)
		}
	}
	if m.lost > 0 && at >= m.lostAt {
		m.lostAt = at + m.lostInterval(at)
		if r := m.nextLostProbe(); r != nil {
			m.probe(now, at, r)
		}
	}
}

// lostInterval is the time between probes of lost members. It grows with the number of nodes per lost member, so that
// the last member to return is not probed by the whole fleet every second. Its bound keeps the time short in which a
// node finds a member again that it alone has lost.
func (m *Members) lostInterval(at time.Duration) time.Duration {
	least := lostProbeEvery
	if at < m.healUntil {
		least = ProbePeriod
	}
	return min(max(least*time.Duration(len(m.order)+1)/time.Duration(m.lost), least), longestLost)
}

// nextProbe walks through the members in a random order that is drawn anew for each round.
func (m *Members) nextProbe() *record {
	for range len(m.order) + 1 {
		if m.next >= len(m.order) {
			m.next = 0
			for i := len(m.order) - 1; i > 0; i-- {
				m.swap(i, m.rng.IntN(i+1))
			}
		}
		if m.next < len(m.order) {
			r := m.order[m.next]
			m.next++
			if !r.gone() {
				return r
			}
		}
	}
	return nil
}

func (m *Members) nextLostProbe() *record {
	for range len(m.order) {
		m.nextLost++
		if m.nextLost >= len(m.order) {
			m.nextLost = 0
		}
		if r := m.order[m.nextLost]; r.doubt == Faulty && r.declared != mustardmast.Left {
			return r
		}
	}
	return nil
}

func (m *Members) probe(now time.Time, at time.Duration, r *record) {
	if len(m.pending) >= maxPending {
		return
	}
	m.sequence = max(m.sequence+1, 1)
	m.pending = append(m.pending, probe{sequence: m.sequence, r: r, id: r.member.ID, at: at, lost: r.doubt == Faulty})
	m.sendTo(now, r, Packet{Kind: Ping, Sequence: m.sequence})
}

func (m *Members) probeSeed(now time.Time, at time.Duration) {
	seed := m.seeds[m.rng.IntN(len(m.seeds))]
	if seed == m.self.member.Address {
		return
	}
	m.sequence = max(m.sequence+1, 1)
	m.pending = append(m.pending, probe{sequence: m.sequence, at: at})
	m.send(now, seed, nil, Packet{Kind: Ping, Sequence: m.sequence}, true)
}

// SetSeeds replaces the addresses that are asked while no member is known.
func (m *Members) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = append([]netip.AddrPort(nil), seeds...)
}

// ProbeNow is evidence from the data path that a member does not respond. The member is probed at once; the evidence by
// itself proves nothing about the member's node.
func (m *Members) ProbeNow(now time.Time, id mustardmast.NodeID) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.known(id)
	if r == nil || r.doubt != Alive || r.declared == mustardmast.Left || m.bucket.Level(now) < MaxPacket {
		return Output{}
	}
	for _, p := range m.pending {
		if p.id == id {
			return Output{}
		}
	}
	m.probe(now, now.Sub(m.start), r)
	return m.take()
}

// checkHearsay pings the neighbours that others have begun to doubt. It does so also if an ack is awaited already: that
// ping did not carry the doubt.
func (m *Members) checkHearsay(now time.Time) {
	for _, r := range m.hearsay {
		if r.index >= 0 && r.doubt != Alive && m.bucket.Level(now) >= MaxPacket {
			m.probe(now, now.Sub(m.start), r)
		}
	}
	clear(m.hearsay)
	m.hearsay = m.hearsay[:0]
}

func (m *Members) askSync(with ...*record) {
	for _, r := range with {
		m.out.SyncPeers = append(m.out.SyncPeers, *r.member)
	}
}
