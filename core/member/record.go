package member

import (
	"time"
	"unicode/utf8"

	"mustardmast"
)

// Liveness is what other nodes believe about a member, in addition to the state that it declares itself.
type Liveness uint8

// Levels of liveness. At equal counters a higher level supersedes a lower one.
const (
	Alive Liveness = iota
	Suspected
	Faulty
)

// Update is a claim about one member. Member.State is the state that the member declared.
type Update struct {
	Member   mustardmast.Member
	Liveness Liveness
	Started  uint64 // start time in Unix ms; orders the incarnations at one address
	Brief    bool   // only ID, State and RefutationCounter of Member, and Liveness, are set
}

// record is the state that a node holds about one member.
type record struct {
	member       *mustardmast.Member // never modified in place; State is the visible state
	declared     mustardmast.MemberState
	liveness     Liveness
	localOnly    bool // the suspicion is this node's own and is not gossiped
	started      uint64
	changedAt    time.Duration // when declared or liveness changed last
	suspectUntil time.Duration // when a suspected member becomes faulty
	index        int           // in Members.order; negative for this node and removed members
	entry        queueEntry
	inUrgent     bool // in Members.urgent
	inSuspects   bool // in Members.suspects
}

// visible returns the state that the directory shows for a member.
func visible(declared mustardmast.MemberState, liveness Liveness) mustardmast.MemberState {
	switch {
	case declared == mustardmast.Left:
		return mustardmast.Left
	case liveness == Faulty:
		return mustardmast.Unreachable
	case liveness == Suspected && declared == mustardmast.Ready:
		return mustardmast.Suspect
	default:
		return declared // a suspected member that is draining must not become eligible for new work
	}
}

// supersededBy reports whether u is newer than the record. At equal counters only a departure or a higher liveness
// level is newer, so that the result does not depend on the order of arrival.
func (r *record) supersededBy(u Update) bool {
	switch {
	case r.declared == mustardmast.Left:
		return false
	case u.Member.State == mustardmast.Left:
		return true
	case u.Member.RefutationCounter != r.member.RefutationCounter:
		return u.Member.RefutationCounter > r.member.RefutationCounter
	default:
		return u.Liveness > r.liveness
	}
}

// incomplete reports whether this node has received only a brief update of the record of a ready member, not the full
// record with its service. Packets carry the state and counter of their sender, and may overtake its full record.
func (r *record) incomplete() bool { return r.declared == mustardmast.Ready && r.member.Service == "" }

func (r *record) gone() bool { return r.declared == mustardmast.Left || r.liveness == Faulty }

// update returns the record as it is sent to other nodes. An incomplete record is always sent as a brief update, since it
// would supersede the complete one.
func (r *record) update(brief bool) Update {
	brief = brief || r.incomplete()
	u := Update{Member: *r.member, Liveness: r.liveness, Started: r.started, Brief: brief}
	u.Member.State = r.declared
	if r.localOnly {
		u.Liveness = Alive
	}
	if brief {
		u.Started = 0
		u.Member = mustardmast.Member{ID: r.member.ID, State: r.declared, RefutationCounter: r.member.RefutationCounter}
	}
	return u
}

// hash returns the record's contribution to the hash of its bucket. Departed members and suspicions do not contribute:
// nodes remove the former at different times, and the latter are transient and always differ between nodes.
func (r *record) hash() uint32 {
	if r.declared == mustardmast.Left {
		return 0
	}
	x := uint64(r.member.ID) ^ uint64(r.member.RefutationCounter)<<32 ^ uint64(r.member.RefutationCounter)*0x9e3779b97f4a7c15
	if r.liveness == Faulty && !r.localOnly {
		x ^= 0xd6e8feb86659fd93
	}
	if r.incomplete() {
		x ^= 0xbf58476d1ce4e5b9
	}
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return uint32(x)
}

// apply merges one update and reports whether it changed the view of another member.
func (m *Members) apply(at time.Duration, u Update) bool {
	if u.Member.ID == m.self.member.ID {
		m.applyToSelf(at, u)
		return false
	}
	r, known := m.byID[u.Member.ID]
	if !known {
		return m.insert(at, u)
	}
	if r.localOnly && u.Liveness >= r.liveness && u.Member.RefutationCounter == r.member.RefutationCounter {
		// Another node suspects the member as well, so the suspicion is no longer local.
		m.edit(r, func() { r.localOnly, r.liveness = false, u.Liveness })
		m.queue.add(r, false)
		return true
	}
	completed := m.complete(r, u)
	if !r.supersededBy(u) {
		return completed
	}
	m.replace(at, r, u)
	if r.incomplete() {
		m.syncSoon(at)
	}
	return true
}

// complete takes the service and the slots of an incomplete record from the full record with the same counter, which
// does not supersede it.
func (m *Members) complete(r *record, u Update) bool {
	if !r.incomplete() || u.Brief || u.Member.Service == "" || u.Member.RefutationCounter != r.member.RefutationCounter {
		return false
	}
	m.edit(r, func() {
		c := *r.member
		c.Service, c.Slots = m.intern(u.Member.Service), u.Member.Slots
		r.started, r.member = u.Started, &c
	})
	m.queue.add(r, true)
	return true
}

// syncSoon requests a sync because this node has missed a full record.
func (m *Members) syncSoon(at time.Duration) {
	m.syncAt = min(m.syncAt, max(at+ProbePeriod, m.syncedAt+unknownMemberSyncDelay))
}

// edit changes a record and updates the hashes, counters and directory that are derived from it.
func (m *Members) edit(r *record, change func()) {
	m.hashes[hashBucket(r.member.ID)] ^= r.hash()
	wasFaulty, wasNotAlive := r.liveness == Faulty, r.liveness != Alive
	before := r.member
	change()
	if v := visible(r.declared, r.liveness); v != r.member.State {
		c := *r.member
		c.State = v
		r.member = &c
	}
	m.hashes[hashBucket(r.member.ID)] ^= r.hash()
	m.faulty += boolDelta(wasFaulty, r.liveness == Faulty)
	m.notAlive[r.member.FailureDomain] += boolDelta(wasNotAlive, r.liveness != Alive)
	if r.liveness == Suspected && !r.inSuspects {
		r.inSuspects = true
		m.suspects = append(m.suspects, r)
	}
	if r.member != before {
		m.directory.put(r.member)
		m.out.Changes = append(m.out.Changes, Change{Member: *r.member})
	}
}

// boolDelta returns 1 if a condition became true, -1 if it became false, and 0 otherwise.
func boolDelta(before, after bool) int {
	switch {
	case after && !before:
		return 1
	case before && !after:
		return -1
	default:
		return 0
	}
}

// replace applies a newer update to the record of a known member.
func (m *Members) replace(at time.Duration, r *record, u Update) {
	urgent := u.Member.State != r.declared && (u.Member.State == mustardmast.Draining || u.Member.State == mustardmast.Left)
	refuted := u.Liveness == Alive && r.liveness != Alive
	bulk := refuted && m.notAlive[r.member.FailureDomain] > massFailure
	urgent = urgent || refuted && !bulk
	full := false
	m.edit(r, func() {
		if r.declared != u.Member.State || r.liveness != u.Liveness {
			r.changedAt = at
		}
		c := *r.member
		c.RefutationCounter = u.Member.RefutationCounter
		if !u.Brief {
			full = c.Service != u.Member.Service || c.Slots != u.Member.Slots || r.started != u.Started
			c.Service, c.Slots = m.intern(u.Member.Service), u.Member.Slots
			r.started = u.Started
		}
		if u.Liveness == Suspected && r.liveness != Suspected {
			r.suspectUntil = at + m.suspicionTimeout()
		}
		r.declared, r.liveness, r.localOnly = u.Member.State, u.Liveness, false
		r.member = &c
	})
	m.queue.add(r, full)
	r.entry.reduced = bulk && !full
	if urgent {
		m.markUrgent(r)
	}
	if u.Liveness != Alive && r.member.FailureDomain == m.self.member.FailureDomain && m.notAlive[r.member.FailureDomain] <= massFailure {
		m.domainSuspects = append(m.domainSuspects, r)
	}
}

// applyToSelf refutes an outdated or negative update about this node by declaring a higher counter.
func (m *Members) applyToSelf(at time.Duration, u Update) {
	own := m.self.member
	if m.self.declared == mustardmast.Left || u.Member.RefutationCounter < own.RefutationCounter ||
		u.Member.RefutationCounter == own.RefutationCounter && u.Liveness == Alive && u.Member.State == m.self.declared {
		return
	}
	m.updateSelf(at, u.Member.RefutationCounter+1, func(*mustardmast.Member) {}, false)
}

// insert adds an unknown member if its address is free or held by an earlier incarnation.
func (m *Members) insert(at time.Duration, u Update) bool {
	if u.Brief && u.Liveness == Alive && u.Member.State <= mustardmast.Ready {
		// This node has missed the full record of a live member. Brief updates about departing members are no reason
		// for a sync: they are often late updates about an incarnation that is already superseded.
		m.syncSoon(at)
	}
	if u.Brief || u.Member.State == mustardmast.Left || !valid(u.Member) {
		return false
	}
	if holder, taken := m.byAddr[u.Member.Address]; taken {
		if holder == m.self {
			m.reclaimAddress(at, u)
			return false
		}
		if u.Started < holder.started || u.Started == holder.started && u.Member.ID < holder.member.ID {
			return false
		}
		m.remove(holder, true)
	}
	if len(m.byID) >= m.max && !m.evict() {
		m.rejected++
		return false
	}
	if !m.synced && at > 0 {
		// The first exchange of a starting node follows the ack of a seed. It needs another one if that ack is lost, as
		// seeds are probed only while no member is known.
		m.syncAt = min(m.syncAt, at+joinSyncDelay)
	}
	c := u.Member
	c.FailureDomain, c.Region, c.Service = m.intern(c.FailureDomain), m.intern(c.Region), m.intern(c.Service)
	r := &record{member: &c, declared: u.Member.State, started: u.Started, changedAt: at}
	c.State = visible(r.declared, Alive)
	m.byID[c.ID], m.byAddr[c.Address] = r, r
	m.addToProbeOrder(r)
	m.hashes[hashBucket(c.ID)] ^= r.hash()
	m.directory.put(r.member)
	m.out.Changes = append(m.out.Changes, Change{Member: c})
	if u.Liveness != Alive {
		m.edit(r, func() { r.liveness, r.suspectUntil = u.Liveness, at+m.suspicionTimeout() })
	}
	m.queue.add(r, true)
	return true
}

// reclaimAddress advances this node's start time past that of an earlier incarnation whose clock was ahead.
func (m *Members) reclaimAddress(at time.Duration, u Update) {
	if u.Started < m.self.started {
		return
	}
	m.self.started = u.Started + 1
	m.updateSelf(at, m.self.member.RefutationCounter+1, func(*mustardmast.Member) {}, true)
}

func valid(c mustardmast.Member) bool {
	return c.ID != 0 && c.Address.IsValid() && c.State <= mustardmast.Left &&
		max(len(c.Name), len(c.FailureDomain), len(c.Region), len(c.Service)) <= MaxStringBytes &&
		utf8.ValidString(c.Name+c.FailureDomain+c.Region+c.Service) // protobuf cannot encode invalid UTF-8
}

// intern deduplicates strings that many members share. When the table is full, strings are no longer shared.
func (m *Members) intern(s string) string {
	if known, ok := m.interned[s]; ok {
		return known
	}
	if len(m.interned) < 4096 {
		m.interned[s] = s
	}
	return s
}

// addToProbeOrder inserts a record at a random position among those not yet probed in this round.
func (m *Members) addToProbeOrder(r *record) {
	m.order = append(m.order, r)
	last := len(m.order) - 1
	r.index = last
	if m.next < last {
		m.swap(m.next+m.rng.IntN(last-m.next+1), last)
	}
}

func (m *Members) swap(i, j int) {
	m.order[i], m.order[j] = m.order[j], m.order[i]
	m.order[i].index, m.order[j].index = i, j
}

// remove deletes a member.
func (m *Members) remove(r *record, superseded bool) {
	id := r.member.ID
	m.hashes[hashBucket(id)] ^= r.hash()
	m.faulty += boolDelta(r.liveness == Faulty, false)
	m.notAlive[r.member.FailureDomain] += boolDelta(r.liveness != Alive, false)
	delete(m.byID, id)
	delete(m.byAddr, r.member.Address)
	m.queue.drop(r)
	m.directory.remove(r.member)
	last := len(m.order) - 1
	m.swap(r.index, last)
	m.order[last] = nil
	m.order = m.order[:last]
	if superseded {
		c := *r.member
		c.State = mustardmast.Left
		m.out.Changes = append(m.out.Changes, Change{Member: c, Superseded: true})
	}
	r.index = -1
}

// evict removes the member that has been gone longest, departed members before faulty ones. It returns false if no
// member is gone.
func (m *Members) evict() bool {
	var oldest *record
	for _, r := range m.order {
		if !r.gone() {
			continue
		}
		if oldest == nil || older(r, oldest) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	m.remove(oldest, false)
	return true
}

// older reports whether a is evicted before b.
func older(a, b *record) bool {
	if left := a.declared == mustardmast.Left; left != (b.declared == mustardmast.Left) {
		return left
	}
	return a.changedAt < b.changedAt
}

// reap removes members that have been gone for longer than goneRetention.
func (m *Members) reap(at time.Duration) {
	for i := len(m.order) - 1; i >= 0; i-- {
		if r := m.order[i]; r.gone() && at-r.changedAt > goneRetention {
			m.remove(r, false)
		}
	}
}
