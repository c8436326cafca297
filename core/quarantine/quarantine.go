// Package quarantine rejects requests that crash every target that executes them.
//
// A request is identified by its fingerprint: service, method, backer and content. A caller that resends the same
// content under a new id, or through another node, sends the same fingerprint.
//
// When a target crashes, any of the requests in flight there may be the cause, but at most one of them is. Correlation
// tells them apart. A fingerprint that completes on any target is cleared of the crashes at which other requests were
// in flight as well. A fingerprint that was in flight at two crashes and has not completed since is a suspect. A
// suspect runs in isolation: at a single node of its service, which all nodes with the same evidence choose
// identically, if possible one whose target has not crashed with it, and with nothing else in flight at the target of
// that node. If the target then crashes, nothing else can be the cause, and the fingerprint is quarantined. A request
// that is in flight at crashes by chance is therefore never quarantined, however often this happens; at worst it runs
// in isolation, completes and is cleared.
//
// Nodes exchange evidence. Evidence only grows and can be merged in any order; since hosts do not share a clock, ages
// are sent instead of times. A node sends its updates about a crash to the nodes of the service before it responds to
// the lost calls, so that the evidence is in place when callers resend them. Gossip repeats the updates for nodes that
// missed them. Among nodes that exchange updates, and with sends that follow one another, a fingerprint crashes at most
// 4 targets: two to become a suspect, one in isolation, and one more that starts before the updates arrive. Copies that
// are already in flight at several targets cannot be stopped and are not covered by that bound.
//
// Evidence expires after EvidenceTTL. The table holds at most 1,024 fingerprints. When it is full, the weakest evidence
// is evicted: cleared fingerprints first, then single crashes, then suspects, the oldest first within each group.
// Quarantined fingerprints are never evicted; if a shard holds nothing else, further evidence for it is dropped and
// counted.
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
	shards      = 16
	maxPerShard = 64
	// EvidenceTTL is how long evidence remains valid.
	EvidenceTTL = 10 * time.Minute
	// clearGrace extends an operator's clear beyond its time. Reports of earlier crashes make them appear more recent
	// by the time the reports took to arrive, which gossip keeps below this value.
	clearGrace = 2 * time.Second
	// retryAfter is the retry delay reported to callers that are rejected because of a suspect.
	retryAfter = time.Second
)

// Quarantine holds the evidence known to one node. It is safe for concurrent use.
type Quarantine struct {
	self       mustardmast.NodeID
	eventCount atomic.Uint64
	dropped    atomic.Uint64
	isolated   atomic.Uint64 // fingerprint with exclusive use of the target, 0 if none
	shards     [shards]shard
}

type shard struct {
	mu      sync.RWMutex
	entries map[Fingerprint]*entry
}

type entry struct {
	evidence
	sends int // number of gossip messages that carried this evidence
}

// New returns a Quarantine without evidence for one node incarnation.
func New(self mustardmast.NodeID) *Quarantine {
	q := &Quarantine{self: self}
	for i := range q.shards {
		q.shards[i].entries = make(map[Fingerprint]*entry)
	}
	return q
}

// State returns the state of a fingerprint according to the evidence.
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

// Check is called at the node that receives a call from its caller. It returns an error for quarantined content. For a
// suspect it returns true and the only member among serving that may execute it, or false if serving is empty.
func (q *Quarantine) Check(now time.Time, f Fingerprint, serving []mustardmast.Member) (mustardmast.Member, bool, error) {
	switch q.State(now, f) {
	case Quarantined:
		return mustardmast.Member{}, false, quarantinedError()
	case Suspect:
		member, ok := IsolationNode(f, q.spared(now, f, serving))
		return member, ok, nil
	default:
		return mustardmast.Member{}, false, nil
	}
}

// Admit is called at the node that is to execute the request; serving are the nodes of its service. If isolated is
// true, the node must give the target no other work, wait until nothing is in flight there, execute the request and
// then call ReleaseTarget, which it defers. Until then, Admit rejects all other requests. All rejections are
// not-executed.
func (q *Quarantine) Admit(now time.Time, f Fingerprint, serving []mustardmast.Member) (isolated bool, err error) {
	st := q.State(now, f)
	if st == Quarantined {
		return false, quarantinedError()
	}
	if q.isolated.Load() != 0 {
		return false, shedError("the target is reserved for a request that is suspected of crashing targets")
	}
	if st == Clear {
		return false, nil
	}
	if member, ok := IsolationNode(f, q.spared(now, f, serving)); ok && member.ID != q.self {
		return false, shedError("a request that is suspected of crashing targets is executed at one node only")
	}
	if !q.isolated.CompareAndSwap(0, uint64(f)) {
		return false, shedError("the target has just been reserved for another request that is suspected of crashing targets")
	}
	return true, nil
}

// spared returns the members whose targets have not crashed with the fingerprint in flight, or all if there is none. At
// another target a suspect proves more: one that has crashed may crash with any request.
func (q *Quarantine) spared(now time.Time, f Fingerprint, serving []mustardmast.Member) []mustardmast.Member {
	s := q.shard(f)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[f]
	if !ok {
		return serving
	}
	spared := make([]mustardmast.Member, 0, len(serving))
	for _, m := range serving {
		if !e.crashedAt(nodeTag(m.ID), now.Add(-EvidenceTTL)) {
			spared = append(spared, m)
		}
	}
	if len(spared) == 0 {
		return serving
	}
	return spared
}

func quarantinedError() error {
	return fault.New(fault.Quarantined, "a request with this method, backer and content crashed the target that executed it in isolation")
}

func shedError(detail string) error {
	return fault.New(fault.Shed, detail).WithRetryAfter(retryAfter)
}

// ReleaseTarget ends the exclusive use of the target that Admit granted to a suspect. A crash must be recorded first.
func (q *Quarantine) ReleaseTarget(f Fingerprint) {
	q.isolated.CompareAndSwap(uint64(f), 0)
}

// RecordCompletion records that a request was executed to completion.
func (q *Quarantine) RecordCompletion(now time.Time, f Fingerprint) {
	s := q.shard(f)
	s.mu.RLock()
	e, ok := s.entries[f]
	discounts := ok && e.completionDiscounts(now)
	s.mu.RUnlock()
	if discounts { // most requests have no evidence, so they need neither the write lock nor an update
		q.mergeEvidence(now, f, evidence{completed: q.event(now)})
	}
}

// event returns a new event of this node. Completions and clears are numbered separately from crashes.
func (q *Quarantine) event(at time.Time) event {
	return event{id: eventID(q.self, 1<<32+q.eventCount.Add(1)), at: at}
}

// RecordCrash records that the target of a node crashed while the given requests were in flight. The number is that of
// the crash at its node, so that a crash reported by several nodes is counted once. A suspect that is still waiting for
// the target to become idle did not run in isolation, even if copies of it that started earlier were in flight.
func (q *Quarantine) RecordCrash(now time.Time, node mustardmast.NodeID, number uint32, inFlight []Fingerprint) {
	for _, f := range inFlight {
		if f == 0 {
			continue // unknown content
		}
		isolated := node == q.self && len(inFlight) == 1 && q.isolated.Load() == uint64(f)
		q.mergeEvidence(now, f, evidence{crashes: []crash{{id: crashID(node, number, isolated), at: now}}})
	}
}

// Clear clears one fingerprint on behalf of an operator. Updates about earlier crashes do not undo it.
func (q *Quarantine) Clear(now time.Time, f Fingerprint) {
	q.mergeEvidence(now, f, evidence{cleared: q.event(now.Add(clearGrace))})
}

// mergeEvidence merges evidence into the table and reports whether it was new.
func (q *Quarantine) mergeEvidence(now time.Time, f Fingerprint, added evidence) bool {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[f]
	if !ok {
		if !s.makeRoom(now) {
			q.dropped.Add(1)
			return false
		}
		s.entries[f] = &entry{evidence: added}
		return true
	}
	merged := old.merge(added)
	if merged.equal(old.evidence) {
		return false
	}
	old.evidence, old.sends = merged, 0
	return true
}

// makeRoom evicts the weakest entry if the shard is full. It returns false if all entries are quarantined.
func (s *shard) makeRoom(now time.Time) bool {
	if len(s.entries) < maxPerShard {
		return true
	}
	oldest := now.Add(-EvidenceTTL)
	var weakest Fingerprint
	var weakestEntry *entry
	for f, e := range s.entries {
		if weakestEntry == nil || e.weakerThan(weakestEntry, oldest) {
			weakest, weakestEntry = f, e
		}
	}
	if st, _ := weakestEntry.state(oldest); st == Quarantined {
		return false
	}
	delete(s.entries, weakest)
	return true
}

// weakerThan reports whether e is to be evicted before o.
func (e *entry) weakerThan(o *entry, oldest time.Time) bool {
	a, n := e.state(oldest)
	b, m := o.state(oldest)
	if c := cmp.Or(cmp.Compare(a, b), cmp.Compare(n, m)); c != 0 {
		return c < 0
	}
	return e.lastChange().Before(o.lastChange())
}

// Tick removes expired evidence. It has to be called about once per second.
func (q *Quarantine) Tick(now time.Time) {
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			if !e.lastChange().After(now.Add(-EvidenceTTL)) {
				delete(s.entries, f)
			}
		}
		s.mu.Unlock()
	}
}

// Dropped returns how often evidence was dropped because its shard held only quarantined fingerprints.
func (q *Quarantine) Dropped() uint64 { return q.dropped.Load() }

// Count returns the number of fingerprints in a state.
func (q *Quarantine) Count(now time.Time, in State) int {
	n := 0
	for _, item := range q.List(now) {
		if item.State == in {
			n++
		}
	}
	return n
}

// Item describes one fingerprint for operators.
type Item struct {
	Fingerprint Fingerprint
	State       State
	Crashes     int
	Age         time.Duration // time since the latest evidence
}

// List returns the fingerprints with valid crash evidence, the strongest evidence first.
func (q *Quarantine) List(now time.Time) []Item {
	var l []Item
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.RLock()
		for f, e := range s.entries {
			if st, n := e.state(now.Add(-EvidenceTTL)); n > 0 {
				l = append(l, Item{Fingerprint: f, State: st, Crashes: n, Age: max(now.Sub(e.lastChange()), 0)})
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
