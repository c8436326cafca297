package member

import (
	"math"
	"net/netip"
	"time"

	"mustardmast"
)

// Bounds on gossip about many doubted members of one failure domain at once, and about their return. Each of them is
// noticed by several nodes independently, so fewer repetitions reach everybody, and nothing is sent ahead of the pings.
const (
	massDoubt = 32
	massSends = 8 // with 4, some nodes heard of a lost domain only when they compared views
	maxSends  = 32
)

// queue holds the updates to piggyback. Those sent least often go first, and of these the most recent. It holds one
// entry per member.
type queue struct {
	levels [maxSends][]queued // by number of sends so far; entries whose ticket is old are skipped
	live   int
	total  int
	ticket uint32
	closed bool // only this node's own record is taken in
}

type queued struct {
	r      *record
	ticket uint32
}

type queueEntry struct {
	ticket uint32 // 0 if the record is not queued
	sends  uint8
	wide   bool // the full record must be sent
	few    bool // one of many refutations
}

func (q *queue) add(r *record, wide bool) {
	if q.closed && r.index >= 0 {
		return
	}
	if r.entry.ticket == 0 {
		q.live++
	} else {
		wide = wide || r.entry.wide // the full record has not reached everybody yet
	}
	r.entry = queueEntry{wide: wide}
	q.push(r)
}

func (q *queue) push(r *record) {
	q.ticket = max(q.ticket+1, 1)
	r.entry.ticket = q.ticket
	q.levels[r.entry.sends] = append(q.levels[r.entry.sends], queued{r, q.ticket})
	q.total++
	if q.total > 2*q.live+1024 {
		q.compact()
	}
}

func (q *queue) drop(r *record) {
	if r.entry.ticket != 0 {
		r.entry.ticket = 0
		q.live--
	}
}

// compact takes out stale entries, so that the queue stays within twice the number of members.
func (q *queue) compact() {
	q.total = 0
	for i, l := range q.levels {
		kept := l[:0]
		for _, e := range l {
			if e.r.entry.ticket == e.ticket {
				kept = append(kept, e)
			}
		}
		q.levels[i] = kept
		q.total += len(kept)
	}
}

func (q *queue) pop(level int) (*record, bool) {
	l := q.levels[level]
	for len(l) > 0 {
		e := l[len(l)-1]
		l = l[:len(l)-1]
		q.levels[level] = l
		q.total--
		if e.r.entry.ticket == e.ticket {
			return e.r, true
		}
	}
	return nil, false
}

// piggyback returns queued updates that fit into room bytes.
func (m *Members) piggyback(room int) []Update {
	const least = 16 // the smallest update
	if m.queue.live == 0 || room < least {
		return nil
	}
	limit := min(int(math.Ceil(4*m.logScale())), maxSends)
	var updates []Update
	var sent []*record
	for level := 0; level < maxSends && room >= least; level++ {
		for {
			r, ok := m.queue.pop(level)
			if !ok {
				break
			}
			u := r.update(!r.entry.wide)
			if u.Size() > room {
				m.queue.push(r)
				room = 0
				break
			}
			room -= u.Size()
			updates, sent = append(updates, u), append(sent, r)
		}
	}
	for _, r := range sent {
		r.entry.sends++
		if int(r.entry.sends) >= m.sendLimit(r, limit) {
			m.queue.drop(r)
		} else {
			m.queue.push(r)
		}
	}
	return updates
}

func (m *Members) sendLimit(r *record, limit int) int {
	if r.entry.few || r.doubt != Alive && m.doubted[r.member.FailureDomain] > massDoubt {
		return min(massSends, limit)
	}
	return limit
}

// hurry has a record sent to a few members at the next tick, before anybody is pinged.
func (m *Members) hurry(r *record) {
	if r.hurried || m.queue.closed && r.index >= 0 || len(m.urgent) >= maxUrgent {
		return // at the bound the update still goes out by piggybacking
	}
	r.hurried = true
	m.urgent = append(m.urgent, r)
}

// flushUrgent sends hurried records to a few random members. Each receiver to which they are news does the same, so
// they reach nearly everybody in a few hops; piggybacking reaches the rest.
func (m *Members) flushUrgent(now time.Time) {
	for len(m.urgent) > 0 {
		peers := m.pick(eagerPeers, 0)
		updates, n := m.urgentUpdates()
		p := m.header(Packet{Kind: Gossip, Updates: updates})
		cost := p.Size() + Overhead
		if len(peers) == 0 || !m.bucket.Take(now, cost*len(peers)) {
			m.dropUrgent(len(m.urgent)) // late news is left to piggybacking, which has its own share
			return
		}
		for _, r := range peers {
			p.To = r.member.ID
			m.out.Packets = append(m.out.Packets, OutboundPacket{To: r.member.Address, Packet: p})
		}
		m.dropUrgent(n)
	}
}

func (m *Members) urgentUpdates() ([]Update, int) {
	room := MaxPacket - m.header(Packet{Kind: Gossip, To: math.MaxUint64}).Size()
	var out []Update
	for i, r := range m.urgent {
		u := r.update(!r.entry.wide)
		if u.Size() > room {
			return out, i
		}
		room -= u.Size()
		out = append(out, u)
	}
	return out, len(m.urgent)
}

func (m *Members) dropUrgent(n int) {
	for _, r := range m.urgent[:n] {
		r.hurried = false
	}
	m.urgent = append(m.urgent[:0], m.urgent[n:]...)
}

// header fills in what every datagram carries.
func (m *Members) header(p Packet) Packet {
	p.From = m.self.member.ID
	p.State, p.Counter = m.self.declared, m.self.member.Counter
	p.Generation, p.ChangeHash, p.Digest = m.generation, m.changeHash, m.digest
	return p
}

// send completes a datagram with updates that fit and the budget allows, and charges it. A receiver that is doubted
// hears of the doubt, so that it can refute, and gets this node's full record, since it may have missed it.
func (m *Members) send(now time.Time, to netip.AddrPort, r *record, p Packet, introduce bool) {
	p = m.header(p)
	if r != nil && r.doubt != Alive {
		u := r.update(true)
		u.Liveness = r.doubt
		p.Updates = append(p.Updates, u)
		introduce = true
	}
	if introduce {
		p.Updates = append(p.Updates, m.self.update(false))
	}
	size := p.Size()
	extra := m.piggyback(min(MaxPacket-size, m.bucket.Level(now)-size-Overhead))
	for _, u := range extra {
		size += u.Size()
	}
	p.Updates = append(p.Updates, extra...)
	m.bucket.Charge(now, size+Overhead)
	m.out.Packets = append(m.out.Packets, OutboundPacket{To: to, Packet: p})
}

func (m *Members) sendTo(now time.Time, r *record, p Packet) {
	p.To = r.member.ID
	m.send(now, r.member.Address, r, p, false)
}

// AnnounceConfig sends the configuration generation to k random members.
func (m *Members) AnnounceConfig(now time.Time, k int) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.pick(k, 0) {
		m.sendTo(now, r, Packet{Kind: Gossip})
	}
	return m.take()
}

func (m *Members) known(id mustardmast.NodeID) *record {
	if r, ok := m.byID[id]; ok && r != m.self {
		return r
	}
	return nil
}
