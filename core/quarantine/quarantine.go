// Package quarantine stops requests that crash each target that runs them.
//
// A request is known by its fingerprint: service, method, backer and content. A caller that resends the same content
// under a new id, or through another node, has the same fingerprint.
//
// When a target crashes, all requests that were in flight there are in question, and at most one of them is to blame.
// What tells them apart is correlation. A fingerprint that completes anywhere is cleared of the crashes it was only
// present at. One that was present at two crashes without completing in between is a suspect. A suspect runs alone: at
// one node of its service, which all nodes choose alike, and with nothing else in flight at that node's target. If the
// target crashes then, nothing else can be the cause, and the fingerprint is quarantined. So a request that is in
// flight by chance is never quarantined, however often that happens; at worst it runs alone, completes and is cleared.
//
// Evidence is exchanged with other nodes. It only grows and merges in any order, and ages are sent instead of times,
// since hosts share no clock. A node sends the news of a crash to the nodes of its service before it answers the calls
// that were lost, so that a caller that resends them finds the news there. Gossip repeats it for those who missed it.
// Among nodes that exchange news and with sends that follow one another, a fingerprint crashes at most 4 targets: two
// to become a suspect, one alone, and one more that starts before the news arrives. Copies that are already in flight
// at several targets at once cannot be called back and are not part of that bound.
//
// Evidence expires after EvidenceTTL. The table has at most 1,024 fingerprints. At the bound, the least telling evidence
// makes room: cleared first, then a single crash, then suspects, the oldest first. Quarantined fingerprints do not
// make room for others; when a part of the table holds nothing else, further evidence there is dropped and counted.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

const (
	shards   = 16
	perShard = 64
	// EvidenceTTL is how long evidence counts.
	EvidenceTTL = 10 * time.Minute
	// clearGrace is how far an operator's clear reaches beyond its time. Reports of crashes before it look younger by
	// the time they took to arrive, which gossip keeps below this.
	clearGrace = 2 * time.Second
	// retryAfter is what callers are told while a suspect runs.
	retryAfter = time.Second
)

// Quarantine is one node's knowledge. It is safe for concurrent use.
type Quarantine struct {
	self    mustardmast.NodeID
	marks   atomic.Uint64
	dropped atomic.Uint64
	alone   atomic.Uint64 // fingerprint that has the target to itself, 0 if none
	shards  [shards]shard
}

type shard struct {
	mu      sync.RWMutex
	entries map[Fingerprint]*entry
}

type entry struct {
	evidence
	sends int // digests that had this evidence
}

// New returns the quarantine of one node incarnation, without evidence.
func New(self mustardmast.NodeID) *Quarantine {
	q := &Quarantine{self: self}
	for i := range q.shards {
		q.shards[i].entries = make(map[Fingerprint]*entry)
	}
	return q
}

// State returns what the evidence says about a fingerprint.
func (q *Quarantine) State(now time.Time, f Fingerprint) State {
	s := q.shard(f)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[f]
	if !ok {
		return Clear
	}
	st, _ := e.state(now.Add(-EvidenceTTL))
	return st
}

// Check decides at the node where a call enters. It returns an error for quarantined content. For a suspect it returns
// the only member among serving that may run it, and true.
func (q *Quarantine) Check(now time.Time, f Fingerprint, serving []mustardmast.Member) (mustardmast.Member, bool, error) {
	switch q.State(now, f) {
	case Quarantined:
		return mustardmast.Member{}, false, refused()
	case Suspect:
		home, ok := IsolationNode(f, serving)
		return home, ok, nil
	default:
		return mustardmast.Member{}, false, nil
	}
}

// Admit decides at the executing node, whose service is served by the nodes in serving. When alone is true, the node
// gives the target no other work, waits until nothing is in flight there, runs the request and then calls ReleaseTarget, which
// it defers: until then Admit refuses everything else. All refusals are not-executed.
func (q *Quarantine) Admit(now time.Time, f Fingerprint, serving []mustardmast.Member) (alone bool, err error) {
	st := q.State(now, f)
	if st == Quarantined {
		return false, refused()
	}
	if q.alone.Load() != 0 {
		return false, busy("the target runs a request that is suspected of crashing targets")
	}
	if st == Clear {
		return false, nil
	}
	if home, ok := IsolationNode(f, serving); ok && home.ID != q.self {
		return false, busy("a request that is suspected of crashing targets runs at one node only")
	}
	if !q.alone.CompareAndSwap(0, uint64(f)) {
		return false, busy("another suspect came first")
	}
	return true, nil
}

func refused() error {
	return fault.New(fault.Quarantined, "a request with this method, backer and content crashed the target that ran it alone")
}

func busy(why string) error {
	return fault.New(fault.Shed, why).WithRetryAfter(retryAfter)
}

// ReleaseTarget ends the run of a suspect that Admit let run alone. A crash is reported first.
func (q *Quarantine) ReleaseTarget(f Fingerprint) {
	q.alone.CompareAndSwap(uint64(f), 0)
}

// RecordCompletion records that a request ran to its end.
func (q *Quarantine) RecordCompletion(now time.Time, f Fingerprint) {
	s := q.shard(f)
	s.mu.RLock()
	e, ok := s.entries[f]
	void := ok && e.clearedBy(now)
	s.mu.RUnlock()
	if void { // most requests have no evidence, and take no lock for writing and make no news
		q.learn(now, f, evidence{passed: q.mark(now)})
	}
}

// mark returns a new mark of this node. Completions and clears are numbered apart from crashes.
func (q *Quarantine) mark(at time.Time) mark {
	return mark{id: markID(q.self, 1<<32+q.marks.Add(1)), at: at}
}

// RecordCrash records a crash of the target at node where, the number of the crash there, and what was in flight. Several
// nodes may report one crash. A suspect that still waits for the target to become idle did not run alone, even if
// copies of it that started earlier were in flight.
func (q *Quarantine) RecordCrash(now time.Time, where mustardmast.NodeID, number uint32, inFlight []Fingerprint) {
	for _, f := range inFlight {
		alone := where == q.self && len(inFlight) == 1 && q.alone.Load() == uint64(f)
		q.learn(now, f, evidence{crashes: []crash{{id: crashID(where, number, alone), at: now}}})
	}
}

// Clear is an operator's clear of one fingerprint. News of crashes before it do not undo it.
func (q *Quarantine) Clear(now time.Time, f Fingerprint) {
	q.learn(now, f, evidence{cleared: q.mark(now.Add(clearGrace))})
}

// learn merges evidence into the table and reports whether it was new.
func (q *Quarantine) learn(now time.Time, f Fingerprint, v evidence) bool {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[f]
	if !ok {
		if !s.room(now) {
			q.dropped.Add(1)
			return false
		}
		s.entries[f] = &entry{evidence: v}
		return true
	}
	m := old.merge(v)
	if m.equal(old.evidence) {
		return false
	}
	old.evidence, old.sends = m, 0
	return true
}

// room makes place for one entry, if the shard is full and holds anything that may go.
func (s *shard) room(now time.Time) bool {
	if len(s.entries) < perShard {
		return true
	}
	oldest := now.Add(-EvidenceTTL)
	var least Fingerprint
	var of *entry
	for f, e := range s.entries {
		if of == nil || e.before(of, oldest) {
			least, of = f, e
		}
	}
	if st, _ := of.state(oldest); st == Quarantined {
		return false
	}
	delete(s.entries, least)
	return true
}

// before reports whether e tells less than o.
func (e *entry) before(o *entry, oldest time.Time) bool {
	a, n := e.state(oldest)
	b, m := o.state(oldest)
	if c := cmp.Or(cmp.Compare(a, b), cmp.Compare(n, m)); c != 0 {
		return c < 0
	}
	return e.last().Before(o.last())
}

// Tick drops expired evidence. It is called about once a second.
func (q *Quarantine) Tick(now time.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			if !e.last().After(now.Add(-EvidenceTTL)) {
				delete(s.entries, f)
			}
		}
		s.mu.Unlock()
	}
}

// Dropped returns how much evidence found no room.
func (q *Quarantine) Dropped() uint64 { return q.dropped.Load() }

// Item is one fingerprint as operators see it.
type Item struct {
	Fingerprint Fingerprint
	State       State
	Crashes     int
	Age         time.Duration // since the evidence was last added to
}

// List returns the fingerprints with evidence that counts, the most telling first.
func (q *Quarantine) List(now time.Time) []Item {
	var l []Item
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.RLock()
		for f, e := range s.entries {
			if st, n := e.state(now.Add(-EvidenceTTL)); n > 0 {
				l = append(l, Item{Fingerprint: f, State: st, Crashes: n, Age: max(now.Sub(e.last()), 0)})
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(l, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age),
			cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return l
}

func (q *Quarantine) shard(f Fingerprint) *shard { return &q.shards[f%shards] }
