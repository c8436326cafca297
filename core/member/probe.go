package member

import (
	"net/netip"
	"time"

	"mustardmast"
)

// probe is a ping whose ack is outstanding.
type probe struct {
	sequence  uint32
	r         *record // nil for a ping to a seed
	id        mustardmast.NodeID
	at        time.Duration // when the ping was sent
	indirect  bool          // ping requests were sent
	wasFaulty bool          // the member was faulty before the ping
}

// relay is a ping sent on behalf of another node.
type relay struct {
	sequence       uint32
	target         mustardmast.NodeID
	origin         netip.AddrPort
	originID       mustardmast.NodeID
	originSequence uint32        // sequence of the ping request
	at             time.Duration // when the ping was sent
}

// localHealth records the results of the last probes. If most probes of a node fail, the fault is probably its own, so
// it does not gossip its suspicions. Otherwise it would cause every other node to be suspected in turn.
type localHealth struct{ failures uint8 } // one bit per probe, the latest lowest

func (h *localHealth) record(ok bool) {
	h.failures <<= 1
	if !ok {
		h.failures |= 1
	}
}

// impaired reports whether at least three of the last four probes failed.
func (h *localHealth) impaired() bool {
	n := 0
	for f := h.failures & 15; f != 0; f >>= 1 {
		n += int(f & 1)
	}
	return n >= 3
}

// Tick runs the periodic work of the protocol. Call it every 100 ms.
func (m *Members) Tick(now time.Time) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	if gap := at - m.lastTick; gap > pauseThreshold {
		m.resumeAfterPause(gap)
	}
	m.lastTick = at
	m.checkProbes(now, at)
	m.expireSuspicions(at)
	if m.self.declared != mustardmast.Left {
		m.startProbes(now, at)
	}
	if at >= m.syncAt {
		m.syncedAt = at
		m.syncAt = at + syncInterval*3/4 + time.Duration(m.rng.Int64N(int64(syncInterval/2)))
		m.requestSync(m.randomAlive(2, 0)...)
	}
	if at >= m.reapAt {
		m.reapAt = at + reapInterval
		m.reap(at)
	}
	m.flushUrgent(now)
	return m.takeOutput()
}

// resumeAfterPause discards outstanding probes and extends suspicions by the gap, because this process could not
// receive acks and refutations while it was paused.
func (m *Members) resumeAfterPause(gap time.Duration) {
	m.pending, m.relays = nil, nil
	for _, r := range m.suspects {
		r.suspectUntil += gap
	}
}

// checkProbes fails the probes that have timed out and sends ping requests for those that still lack an ack after
// indirectProbeDelay.
func (m *Members) checkProbes(now time.Time, at time.Duration) {
	kept := m.pending[:0]
	for _, p := range m.pending {
		switch waited := at - p.at; {
		case waited >= ProbePeriod:
			m.probeFailed(at, p)
			continue
		case waited >= indirectProbeDelay && !p.indirect && p.r != nil && !p.wasFaulty:
			p.indirect = true
			for _, helper := range m.randomAlive(indirectProbes, p.id) {
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

// probeFailed counts a failed probe against localHealth and suspects the member. Probes of seeds, of members that were
// faulty already, and of those that have left or were removed are ignored.
func (m *Members) probeFailed(at time.Duration, p probe) {
	if p.r == nil || p.wasFaulty || p.r.index < 0 || p.r.declared == mustardmast.Left {
		return
	}
	m.localHealth.record(false)
	if p.r.liveness == Alive {
		m.suspect(at, p.r)
	}
}

// suspect marks a member as suspected because this node's own probe failed.
func (m *Members) suspect(at time.Duration, r *record) {
	m.edit(r, func() {
		r.liveness, r.localOnly, r.changedAt, r.suspectUntil = Suspected, m.localHealth.impaired(), at, at+m.suspicionTimeout()
	})
	if !r.localOnly {
		m.queue.add(r, false)
	}
}

// expireSuspicions marks members as faulty that did not refute a suspicion in time.
func (m *Members) expireSuspicions(at time.Duration) {
	kept := m.suspects[:0]
	for _, r := range m.suspects {
		if r.index < 0 || r.liveness != Suspected || r.declared == mustardmast.Left {
			r.inSuspects = false
			continue
		}
		if at < r.suspectUntil {
			kept = append(kept, r)
			continue
		}
		r.inSuspects = false
		m.edit(r, func() { r.liveness, r.changedAt = Faulty, at })
		if !r.localOnly {
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
	if m.faulty > 0 && at >= m.faultyProbeAt {
		m.faultyProbeAt = at + m.faultyProbeInterval(at)
		if r := m.nextFaultyProbe(); r != nil {
			m.probe(now, at, r)
		}
	}
}

// faultyProbeInterval returns the time between probes of faulty members. It grows with the number of nodes per faulty
// member, so that the last member to return is not probed by the whole fleet every second. Its maximum bounds the time
// until a node finds a member again that it alone considers faulty.
func (m *Members) faultyProbeInterval(at time.Duration) time.Duration {
	minInterval := minFaultyProbeInterval
	if at < m.recoveryUntil {
		minInterval = ProbePeriod
	}
	return min(max(minInterval*time.Duration(len(m.order)+1)/time.Duration(m.faulty), minInterval), maxFaultyProbeInterval)
}

// nextProbe returns the next member to probe. It visits the members in an order that is shuffled for each round.
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

// nextFaultyProbe returns the next faulty member in round-robin order, or nil if there is none.
func (m *Members) nextFaultyProbe() *record {
	for range len(m.order) {
		m.nextFaulty++
		if m.nextFaulty >= len(m.order) {
			m.nextFaulty = 0
		}
		if r := m.order[m.nextFaulty]; r.liveness == Faulty && r.declared != mustardmast.Left {
			return r
		}
	}
	return nil
}

func (m *Members) probe(now time.Time, at time.Duration, r *record) {
	if len(m.pending) >= maxPendingProbes {
		return
	}
	m.sequence = max(m.sequence+1, 1)
	m.pending = append(m.pending, probe{sequence: m.sequence, r: r, id: r.member.ID, at: at, wasFaulty: r.liveness == Faulty})
	m.sendTo(now, r, Packet{Kind: Ping, Sequence: m.sequence})
}

// probeSeed pings a random seed. An ack leads to an anti-entropy exchange with the node that sent it.
func (m *Members) probeSeed(now time.Time, at time.Duration) {
	seed := m.seeds[m.rng.IntN(len(m.seeds))]
	if seed == m.self.member.Address {
		return
	}
	m.sequence = max(m.sequence+1, 1)
	m.pending = append(m.pending, probe{sequence: m.sequence, at: at})
	m.send(now, seed, nil, Packet{Kind: Ping, Sequence: m.sequence}, true)
}

// SetSeeds replaces the addresses that are pinged while there is no member to probe.
func (m *Members) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = append([]netip.AddrPort(nil), seeds...)
}

// ProbeNow probes a member at once. It is called when requests to the member get no response. That alone does not make
// the member suspected, as it proves nothing about its node. ProbeNow does nothing if the member is unknown or not
// alive, if a probe of it is outstanding, or if the budget is low.
func (m *Members) ProbeNow(now time.Time, id mustardmast.NodeID) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.lookup(id)
	if r == nil || r.liveness != Alive || r.declared == mustardmast.Left || m.bucket.Level(now) < MaxPacket {
		return Output{}
	}
	for _, p := range m.pending {
		if p.id == id {
			return Output{}
		}
	}
	m.probe(now, now.Sub(m.start), r)
	return m.takeOutput()
}

// probeDomainSuspects pings members of this node's failure domain that other nodes suspect. It does so even if a probe
// is outstanding, because that ping did not carry the suspicion that the member must refute.
func (m *Members) probeDomainSuspects(now time.Time) {
	for _, r := range m.domainSuspects {
		if r.index >= 0 && r.liveness != Alive && m.bucket.Level(now) >= MaxPacket {
			m.probe(now, now.Sub(m.start), r)
		}
	}
	clear(m.domainSuspects)
	m.domainSuspects = m.domainSuspects[:0]
}

// requestSync adds members to those of which the caller must choose one for an anti-entropy exchange.
func (m *Members) requestSync(with ...*record) {
	for _, r := range with {
		m.out.SyncPeers = append(m.out.SyncPeers, *r.member)
	}
}
