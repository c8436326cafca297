package member

import (
	"slices"
	"time"

	"mustardmast"
)

// HashBuckets is the number of parts in which two nodes compare their views.
const HashBuckets = 256

func bucketOf(id mustardmast.NodeID) int { return int(uint64(id) >> 56) }

// Hashes returns one hash per bucket of member ids. Two nodes that agree have equal hashes.
func (m *Members) Hashes() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]uint32(nil), m.hashes[:]...)
}

// SyncRequest is one request for the records that differ.
type SyncRequest struct {
	Cursor   uint32 // 0 starts; otherwise what the page before returned
	Services []string
	Domain   string
	Hashes   []uint32 // of the asker; empty if it knows nothing
	MaxBytes int
}

// Page returns records from buckets that differ, and the cursor of the next page, 0 after the last. Members of the
// wanted services and of the asker's domain come in a first pass over all buckets, the others in a second one. A page
// has whole buckets, at least one, so it may exceed MaxBytes by one bucket.
func (m *Members) Page(a SyncRequest) ([]Update, uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	buckets := m.differing(a)
	var out []Update
	size := 0
	for c := int(a.Cursor); c < 2*HashBuckets; c++ {
		if size >= a.MaxBytes && size > 0 {
			return out, uint32(c)
		}
		for _, r := range buckets[c%HashBuckets] {
			if m.wanted(a, r) == (c < HashBuckets) {
				u := r.update(r.declared == mustardmast.Left)
				size += u.Size()
				out = append(out, u)
			}
		}
	}
	return out, 0
}

func (m *Members) differing(a SyncRequest) [HashBuckets][]*record {
	var out [HashBuckets][]*record
	add := func(r *record) {
		b := bucketOf(r.member.ID)
		if len(a.Hashes) != HashBuckets || a.Hashes[b] != m.hashes[b] {
			out[b] = append(out[b], r)
		}
	}
	add(m.self)
	for _, r := range m.order {
		add(r)
	}
	return out
}

func (m *Members) wanted(a SyncRequest, r *record) bool {
	return r.member.FailureDomain == a.Domain || r.member.Service != "" && slices.Contains(a.Services, r.member.Service)
}

// Merge takes in the records of one page. What it learns is not gossiped: every node compares views for itself, and a
// new node would otherwise gossip the whole fleet.
func (m *Members) Merge(now time.Time, updates []Update) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	m.queue.closed = true
	for _, u := range updates {
		m.apply(at, u)
	}
	m.queue.closed = false
	m.checkHearsay(now)
	return m.take()
}

// SyncInterrupted tells that a comparison ended before its last page. If this node's own budget ended it, another one follows
// soon; it starts over, but the parts that agree by now cost nothing. If the other node refused or failed, the wait is
// longer: after a start of many nodes at once, quick retries used up what the others had saved.
func (m *Members) SyncInterrupted(now time.Time, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := syncAgain
	if refused {
		wait = syncMissed
	}
	m.syncAt = min(m.syncAt, now.Sub(m.start)+wait)
}
