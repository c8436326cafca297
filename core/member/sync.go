package member

import (
	"slices"
	"time"

	"mustardmast"
)

// HashBuckets is the number of buckets that two nodes compare to find where their views differ.
const HashBuckets = 256

func hashBucket(id mustardmast.NodeID) int { return int(uint64(id) >> 56) }

// Hashes returns one hash per bucket of member IDs. Nodes whose views agree have equal hashes.
func (m *Members) Hashes() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]uint32(nil), m.hashes[:]...)
}

// SyncRequest asks for a page of the records in buckets that differ.
type SyncRequest struct {
	Cursor   uint32 // 0 for the first page; otherwise the cursor that the previous page returned
	Services []string
	Domain   string
	Hashes   []uint32 // of the requesting node; empty if it knows no members
	MaxBytes int
}

// Page returns the records from buckets that differ, and the cursor of the next page or 0 after the last one. Members
// of the requested services and of the requesting node's domain come in a first pass over all buckets, the others in a
// second pass. A page holds whole buckets and at least one, so it may exceed MaxBytes by one bucket.
func (m *Members) Page(req SyncRequest) ([]Update, uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	buckets := m.differingBuckets(req)
	var out []Update
	size := 0
	for c := int(req.Cursor); c < 2*HashBuckets; c++ {
		if size >= req.MaxBytes && size > 0 {
			return out, uint32(c)
		}
		for _, r := range buckets[c%HashBuckets] {
			if m.inFirstPass(req, r) == (c < HashBuckets) {
				u := r.update(r.declared == mustardmast.Left)
				size += u.Size()
				out = append(out, u)
			}
		}
	}
	return out, 0
}

// differingBuckets returns the records of each bucket whose hash differs from that in the request.
func (m *Members) differingBuckets(req SyncRequest) [HashBuckets][]*record {
	var out [HashBuckets][]*record
	add := func(r *record) {
		b := hashBucket(r.member.ID)
		if len(req.Hashes) != HashBuckets || req.Hashes[b] != m.hashes[b] {
			out[b] = append(out[b], r)
		}
	}
	add(m.self)
	for _, r := range m.order {
		add(r)
	}
	return out
}

// inFirstPass reports whether r is in the domain or one of the services of the request.
func (m *Members) inFirstPass(req SyncRequest, r *record) bool {
	return r.member.FailureDomain == req.Domain || r.member.Service != "" && slices.Contains(req.Services, r.member.Service)
}

// Merge applies the records of one page. It does not gossip what it learns: every node compares views itself, and a new
// node would otherwise gossip the records of the whole fleet.
func (m *Members) Merge(now time.Time, updates []Update) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	m.queue.selfOnly = true
	for _, u := range updates {
		m.apply(at, u)
	}
	m.queue.selfOnly = false
	m.probeDomainSuspects(now)
	return m.takeOutput()
}

// SyncInterrupted records that an exchange ended before its last page and schedules another one. That one starts over,
// but buckets that agree by now cost nothing. The delay is short if this node's own budget ended the exchange. It is
// longer if the peer rejected the request or failed: when many nodes start at once, quick retries would use up the
// budget that their peers have regained.
func (m *Members) SyncInterrupted(now time.Time, rejected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay := syncRetryDelay
	if rejected && m.synced {
		delay = unknownMemberSyncDelay
	}
	m.syncAt = min(m.syncAt, now.Sub(m.start)+delay)
}

// SyncCompleted records that an exchange has reached its last page.
func (m *Members) SyncCompleted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.synced = true
}
