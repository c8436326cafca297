package member

import (
	"math"
	"net/netip"
	"time"

	"mustardmast"
)

// Limits on gossip. While more than massFailure members of one failure domain are not alive, an update about one of
// them, or about its return, is sent at most massFailureSends times and is not sent ahead of the pings: several nodes
// detect each change independently, so fewer transmissions reach every node.
const (
	massFailure      = 32
	massFailureSends = 8 // with 4, some nodes learned of a failed domain only through anti-entropy
	maxSends         = 32
)

// queue holds the updates to piggyback, at most one per member. Updates that were sent least often go first, and among
// these the most recent.
type queue struct {
	levels   [maxSends][]queued // by number of sends so far; entries with an outdated version are skipped
	live     int                // queued records
	total    int                // entries in levels, outdated ones included
	version  uint32
	selfOnly bool // accept only this node's own record
}

type queued struct {
	r       *record
	version uint32
}

// queueEntry is the state of a record in the queue.
type queueEntry struct {
	version uint32 // 0 if the record is not queued
	sends   uint8
	full    bool // send the full record instead of a brief one
	reduced bool // send at most massFailureSends times
}

func (q *queue) add(r *record, full bool) {
	if q.selfOnly && r.index >= 0 {
		return
	}
	if r.entry.version == 0 {
		q.live++
	} else {
		full = full || r.entry.full // the full record may not have reached all nodes yet
	}
	r.entry = queueEntry{full: full}
	q.push(r)
}

func (q *queue) push(r *record) {
	q.version = max(q.version+1, 1)
	r.entry.version = q.version
	q.levels[r.entry.sends] = append(q.levels[r.entry.sends], queued{r, q.version})
	q.total++
	if q.total > 2*q.live+1024 {
		q.compact()
	}
}

func (q *queue) drop(r *record) {
	if r.entry.version != 0 {
		r.entry.version = 0
		q.live--
	}
}

// compact removes outdated entries, which bounds the queue to about twice the number of live ones.
func (q *queue) compact() {
	q.total = 0
	for i, l := range q.levels {
		kept := l[:0]
		for _, e := range l {
			if e.r.entry.version == e.version {
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
		if e.r.entry.version == e.version {
			return e.r, true
		}
	}
	return nil, false
}

// piggyback takes updates that fit into room bytes from the queue and counts them as sent.
func (m *Members) piggyback(room int) []Update {
	const minSize = 16 // size of the smallest update
	if m.queue.live == 0 || room < minSize {
		return nil
	}
	limit := min(int(math.Ceil(4*m.logScale())), maxSends)
	var updates []Update
	var sent []*record
	for level := 0; level < maxSends && room >= minSize; level++ {
		for {
			r, ok := m.queue.pop(level)
			if !ok {
				break
			}
			u := r.update(!r.entry.full)
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

// sendLimit returns how often an update about r is sent.
func (m *Members) sendLimit(r *record, limit int) int {
	if r.entry.reduced || r.liveness != Alive && m.notAlive[r.member.FailureDomain] > massFailure {
		return min(massFailureSends, limit)
	}
	return limit
}

// markUrgent schedules a record to be sent to a few random members by flushUrgent, ahead of piggybacking.
func (m *Members) markUrgent(r *record) {
	if r.inUrgent || m.queue.selfOnly && r.index >= 0 || len(m.urgent) >= maxUrgent {
		return // when the list is full, the update is still piggybacked
	}
	r.inUrgent = true
	m.urgent = append(m.urgent, r)
}

// flushUrgent sends the urgent records to a few random members. Each receiver that did not know an update forwards it
// in the same way, so it reaches nearly all nodes in a few hops. Piggybacking reaches the rest.
func (m *Members) flushUrgent(now time.Time) {
	for len(m.urgent) > 0 {
		peers := m.randomAlive(urgentFanout, 0)
		updates, n := m.urgentUpdates()
		p := m.header(Packet{Kind: Gossip, Updates: updates})
		cost := p.Size() + UDPOverhead
		if len(peers) == 0 || !m.bucket.Take(now, cost*len(peers)) {
			m.dropUrgent(len(m.urgent)) // over budget: rather than send them late, leave them to piggybacking
			return
		}
		for _, r := range peers {
			p.To = r.member.ID
			m.out.Packets = append(m.out.Packets, OutboundPacket{To: r.member.Address, Packet: p})
		}
		m.dropUrgent(n)
	}
}

// urgentUpdates returns as many urgent updates as fit into one packet, and their number.
func (m *Members) urgentUpdates() ([]Update, int) {
	room := MaxPacket - m.header(Packet{Kind: Gossip, To: math.MaxUint64}).Size()
	var out []Update
	for i, r := range m.urgent {
		u := r.update(!r.entry.full)
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
		r.inUrgent = false
	}
	m.urgent = append(m.urgent[:0], m.urgent[n:]...)
}

// header sets the fields that every packet carries.
func (m *Members) header(p Packet) Packet {
	p.From = m.self.member.ID
	p.State, p.Counter = m.self.declared, m.self.member.RefutationCounter
	p.Generation, p.ChangeHash, p.Digest = m.generation, m.changeHash, m.digest
	return p
}

// send adds piggybacked updates to a packet, as far as its size and the budget allow, and charges it to the budget. A
// receiver that is suspected or faulty is sent that update, so that it can refute it, and this node's full record,
// which it may have missed. If introduce is true, the packet always carries that record.
func (m *Members) send(now time.Time, to netip.AddrPort, r *record, p Packet, introduce bool) {
	p = m.header(p)
	if r != nil && r.liveness != Alive {
		u := r.update(true)
		u.Liveness = r.liveness
		p.Updates = append(p.Updates, u)
		introduce = true
	}
	if introduce {
		p.Updates = append(p.Updates, m.self.update(false))
	}
	size := p.Size()
	extra := m.piggyback(min(MaxPacket-size, m.bucket.Level(now)-size-UDPOverhead))
	for _, u := range extra {
		size += u.Size()
	}
	p.Updates = append(p.Updates, extra...)
	m.bucket.Charge(now, size+UDPOverhead)
	m.out.Packets = append(m.out.Packets, OutboundPacket{To: to, Packet: p})
}

// sendTo sends a packet to a known member.
func (m *Members) sendTo(now time.Time, r *record, p Packet) {
	p.To = r.member.ID
	m.send(now, r.member.Address, r, p, false)
}

// AnnounceConfig sends the configuration generation and change hash to up to k random members at once.
func (m *Members) AnnounceConfig(now time.Time, k int) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.randomAlive(k, 0) {
		m.sendTo(now, r, Packet{Kind: Gossip})
	}
	return m.takeOutput()
}

// lookup returns the record of another member, or nil if it is not known.
func (m *Members) lookup(id mustardmast.NodeID) *record {
	if r, ok := m.byID[id]; ok && r != m.self {
		return r
	}
	return nil
}
