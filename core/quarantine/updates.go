package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
)

// Upper bounds of encoded sizes in bytes, for a codec that writes ages in milliseconds as varints and ids in 8 bytes.
const (
	updateSize = 48
	crashSize  = 18
)

// maxSends is how often evidence about one fingerprint is gossiped after its last change. With one gossip message per
// second to a few peers, an update reaches 3,800 nodes in about 12 rounds.
const maxSends = 32

// Update is the evidence about one fingerprint as exchanged between nodes. Ages are relative to the time of sending.
type Update struct {
	Fingerprint Fingerprint
	Completed   Event // last completion
	Cleared     Event // last clear by an operator; its age is negative during the grace period
	Crashes     []Event
}

// Event is a single occurrence. A codec must round the age down.
type Event struct {
	ID  uint64
	Age time.Duration // or Never
}

// Size returns an upper bound of the encoded size of u in bytes.
func (u Update) Size() int { return updateSize + crashSize*len(u.Crashes) }

// UpdatesFor returns the evidence about the given fingerprints, to be sent directly after a crash.
func (q *Quarantine) UpdatesFor(now time.Time, fingerprints []Fingerprint) []Update {
	var updates []Update
	for _, f := range fingerprints {
		s := q.shard(f)
		s.mu.RLock()
		if e, ok := s.entries[f]; ok {
			updates = append(updates, e.update(now, f))
		}
		s.mu.RUnlock()
	}
	return updates
}

// GossipUpdates returns evidence to gossip, of at most maxBytes bytes: the least often sent first, and among those the
// strongest evidence.
func (q *Quarantine) GossipUpdates(now time.Time, maxBytes int) []Update {
	return q.collect(now, maxBytes, true)
}

// Updates returns all evidence, of at most maxBytes bytes, for a node that has just started.
func (q *Quarantine) Updates(now time.Time, maxBytes int) []Update {
	return q.collect(now, maxBytes, false)
}

// collect returns evidence of at most maxBytes bytes. For gossip, it counts how often evidence is sent and omits what has
// been sent maxSends times.
func (q *Quarantine) collect(now time.Time, maxBytes int, gossip bool) []Update {
	type item struct {
		f     Fingerprint
		sends int
		state State
	}
	var candidates []item
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.RLock()
		for f, e := range s.entries {
			st, _ := e.state(now.Add(-EvidenceTTL))
			switch {
			case !gossip:
				candidates = append(candidates, item{f: f, state: st})
			case e.sends < maxSends:
				candidates = append(candidates, item{f: f, sends: e.sends, state: st})
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(candidates, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.state, a.state), cmp.Compare(a.f, b.f))
	})
	var updates []Update
	for _, it := range candidates {
		s := q.shard(it.f)
		s.mu.Lock()
		e, ok := s.entries[it.f]
		if ok {
			u := e.update(now, it.f)
			if ok = u.Size() <= maxBytes; ok {
				maxBytes -= u.Size()
				if gossip {
					e.sends++
				}
				updates = append(updates, u)
			}
		}
		s.mu.Unlock()
		if !ok {
			break
		}
	}
	return updates
}

// Merge adds updates from another node and reports whether any of them was new. Events with expired or impossible ages
// are ignored.
func (q *Quarantine) Merge(now time.Time, updates []Update) bool {
	changed := false
	for _, u := range updates {
		var v evidence
		for _, c := range u.Crashes {
			if c.Age >= 0 && c.Age < EvidenceTTL {
				v = v.withCrash(crash{id: c.ID, at: now.Add(-c.Age)})
			}
		}
		if u.Completed.Age >= 0 && u.Completed.Age < EvidenceTTL {
			v.completed = event{id: u.Completed.ID, at: now.Add(-u.Completed.Age)}
		}
		if u.Cleared.Age >= -clearGrace && u.Cleared.Age < EvidenceTTL {
			v.cleared = event{id: u.Cleared.ID, at: now.Add(-u.Cleared.Age)}
		}
		if !v.equal(evidence{}) {
			changed = q.mergeEvidence(now, u.Fingerprint, v) || changed
		}
	}
	return changed
}

// update returns the evidence as it is sent to other nodes at now.
func (e *entry) update(now time.Time, f Fingerprint) Update {
	u := Update{Fingerprint: f, Completed: toEvent(now, e.completed), Cleared: toEvent(now, e.cleared)}
	for _, c := range e.crashes {
		u.Crashes = append(u.Crashes, toEvent(now, event(c)))
	}
	return u
}

func toEvent(now time.Time, e event) Event {
	if e.at.IsZero() {
		return Event{Age: Never}
	}
	return Event{ID: e.id, Age: now.Sub(e.at)}
}

// IsolationNode returns the only member among serving that executes a suspect, or false if serving is empty. All nodes
// with the same view make the same choice, and different suspects are spread over the members.
func IsolationNode(f Fingerprint, serving []mustardmast.Member) (mustardmast.Member, bool) {
	chosen, maxWeight := -1, uint64(0)
	for i, m := range serving {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[0:], uint64(f))
		binary.LittleEndian.PutUint64(b[8:], uint64(m.ID))
		if weight := xxhash.Sum64(b[:]); chosen < 0 || weight > maxWeight {
			chosen, maxWeight = i, weight
		}
	}
	if chosen < 0 {
		return mustardmast.Member{}, false
	}
	return serving[chosen], true
}
