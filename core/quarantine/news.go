package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
)

// Sizes of news on the wire, as an upper bound for a codec that writes ages in milliseconds with varints and ids in 8
// bytes.
const (
	newsSize  = 48
	crashSize = 18
)

// maxSends is how often one piece of evidence goes into digests after its last change. With one digest a second to a
// few peers each, rumours reach 3,800 nodes in about 12 rounds.
const maxSends = 32

// Update is the evidence about one fingerprint, as nodes send it. Ages are relative to the time of sending.
type Update struct {
	Fingerprint Fingerprint
	Completed   Event // last completion
	Cleared     Event // last clear by an operator; its age is negative while its grace lasts
	Crashes     []Event
}

// Event is something that happened once. A codec rounds the age down, never up.
type Event struct {
	ID  uint64
	Age time.Duration // or Never
}

// Size returns an upper bound of the bytes that n takes on the wire.
func (n Update) Size() int { return newsSize + crashSize*len(n.Crashes) }

// UpdatesFor returns the evidence on some fingerprints, to be sent directly after a crash.
func (q *Quarantine) UpdatesFor(now time.Time, fs []Fingerprint) []Update {
	var l []Update
	for _, f := range fs {
		s := q.shard(f)
		s.mu.RLock()
		if e, ok := s.entries[f]; ok {
			l = append(l, e.news(now, f))
		}
		s.mu.RUnlock()
	}
	return l
}

// GossipUpdates returns evidence to gossip, of at most so many bytes: what was sent least often, the most telling first.
func (q *Quarantine) GossipUpdates(now time.Time, bytes int) []Update {
	type item struct {
		f     Fingerprint
		sends int
		state State
	}
	var l []item
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.RLock()
		for f, e := range s.entries {
			if e.sends < maxSends {
				st, _ := e.state(now.Add(-EvidenceTTL))
				l = append(l, item{f: f, sends: e.sends, state: st})
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(l, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.state, a.state), cmp.Compare(a.f, b.f))
	})
	var out []Update
	for _, it := range l {
		s := q.shard(it.f)
		s.mu.Lock()
		e, ok := s.entries[it.f]
		if ok {
			n := e.news(now, it.f)
			if ok = n.Size() <= bytes; ok {
				bytes -= n.Size()
				e.sends++
				out = append(out, n)
			}
		}
		s.mu.Unlock()
		if !ok {
			break
		}
	}
	return out
}

// Merge takes news from another node and reports whether any of it was new. Expired and impossible ages are ignored.
func (q *Quarantine) Merge(now time.Time, news []Update) bool {
	changed := false
	for _, n := range news {
		var v evidence
		for _, c := range n.Crashes {
			if c.Age >= 0 && c.Age < EvidenceTTL {
				v = v.with(crash{id: c.ID, at: now.Add(-c.Age)})
			}
		}
		if n.Completed.Age >= 0 && n.Completed.Age < EvidenceTTL {
			v.passed = mark{id: n.Completed.ID, at: now.Add(-n.Completed.Age)}
		}
		if n.Cleared.Age >= -clearGrace && n.Cleared.Age < EvidenceTTL {
			v.cleared = mark{id: n.Cleared.ID, at: now.Add(-n.Cleared.Age)}
		}
		if !v.equal(evidence{}) {
			changed = q.learn(now, n.Fingerprint, v) || changed
		}
	}
	return changed
}

func (e *entry) news(now time.Time, f Fingerprint) Update {
	n := Update{Fingerprint: f, Completed: sent(now, e.passed), Cleared: sent(now, e.cleared)}
	for _, c := range e.crashes {
		n.Crashes = append(n.Crashes, sent(now, mark(c)))
	}
	return n
}

func sent(now time.Time, m mark) Event {
	if m.at.IsZero() {
		return Event{Age: Never}
	}
	return Event{ID: m.id, Age: now.Sub(m.at)}
}

// IsolationNode returns the one member among serving that runs a suspect. All nodes with the same view choose alike, and
// different suspects are spread.
func IsolationNode(f Fingerprint, serving []mustardmast.Member) (mustardmast.Member, bool) {
	home, best := -1, uint64(0)
	for i, m := range serving {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[0:], uint64(f))
		binary.LittleEndian.PutUint64(b[8:], uint64(m.ID))
		if w := xxhash.Sum64(b[:]); home < 0 || w > best {
			home, best = i, w
		}
	}
	if home < 0 {
		return mustardmast.Member{}, false
	}
	return serving[home], true
}
