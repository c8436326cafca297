package member

import (
	"time"
	"unicode/utf8"

	"mustardmast"
)

// Liveness is what other nodes believe about a member, beside what it declares about itself.
type Liveness uint8

// Doubts, in rising order.
const (
	Alive Liveness = iota
	Suspected
	Faulty
)

// Update is a statement about one member. State in Member is the state that the member declared.
type Update struct {
	Member   mustardmast.Member
	Liveness Liveness
	Started  uint64 // orders the incarnations at one address
	Brief    bool   // only ID, State and Counter of Member, and Liveness, are set
}

// record is what a node keeps about one member.
type record struct {
	member   *mustardmast.Member // never changed in place; State is the visible state
	declared mustardmast.MemberState
	doubt    Liveness
	private  bool // the doubt is this node's own and is not told to others
	started  uint64
	since    time.Duration // when declared or doubt changed last
	due      time.Duration // when a suspicion becomes a loss
	index    int           // position in the order of probes
	entry    queueEntry
	hurried  bool // in Members.urgent
	watched  bool // in Members.suspects
}

func visible(declared mustardmast.MemberState, d Liveness) mustardmast.MemberState {
	switch {
	case declared == mustardmast.Left:
		return mustardmast.Left
	case d == Faulty:
		return mustardmast.Unreachable
	case d == Suspected && declared == mustardmast.Ready:
		return mustardmast.Suspect
	default:
		return declared // a suspected member that drains must not look like one that may still be given work
	}
}

// outranks says whether u is newer than the record. At one counter only a member's departure or a greater doubt is
// news, so the result does not depend on the order of arrival.
func (r *record) outranks(u Update) bool {
	switch {
	case r.declared == mustardmast.Left:
		return false
	case u.Member.State == mustardmast.Left:
		return true
	case u.Member.Counter != r.member.Counter:
		return u.Member.Counter > r.member.Counter
	default:
		return u.Liveness > r.doubt
	}
}

func (r *record) gone() bool { return r.declared == mustardmast.Left || r.doubt == Faulty }

// update returns the record as others may hear it.
func (r *record) update(brief bool) Update {
	u := Update{Member: *r.member, Liveness: r.doubt, Started: r.started, Brief: brief}
	u.Member.State = r.declared
	if r.private {
		u.Liveness = Alive
	}
	if brief {
		u.Started = 0
		u.Member = mustardmast.Member{ID: r.member.ID, State: r.declared, Counter: r.member.Counter}
	}
	return u
}

// hash is the record's part in its bucket's hash. Departed members and passing suspicions take no part: nodes forget
// the former at different times, and the latter differ all the time.
func (r *record) hash() uint32 {
	if r.declared == mustardmast.Left {
		return 0
	}
	x := uint64(r.member.ID) ^ uint64(r.member.Counter)<<32 ^ uint64(r.member.Counter)*0x9e3779b97f4a7c15
	if r.doubt == Faulty && !r.private {
		x ^= 0xd6e8feb86659fd93
	}
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return uint32(x)
}

// apply merges one statement. It returns true if it changed the view.
func (m *Members) apply(at time.Duration, u Update) bool {
	if u.Member.ID == m.self.member.ID {
		m.hearOfSelf(at, u)
		return false
	}
	r, known := m.byID[u.Member.ID]
	if !known {
		return m.insert(at, u)
	}
	if r.private && u.Liveness >= r.doubt && u.Member.Counter == r.member.Counter {
		// Somebody else doubts it as well, so the doubt is no longer this node's alone.
		m.edit(r, func() { r.private, r.doubt = false, u.Liveness })
		m.queue.add(r, false)
		return true
	}
	if !r.outranks(u) {
		return false
	}
	m.replace(at, r, u)
	return true
}

// edit changes a record and keeps what is derived from it in step.
func (m *Members) edit(r *record, change func()) {
	m.hashes[bucketOf(r.member.ID)] ^= r.hash()
	wasLost, wasDoubted := r.doubt == Faulty, r.doubt != Alive
	before := r.member
	change()
	if v := visible(r.declared, r.doubt); v != r.member.State {
		c := *r.member
		c.State = v
		r.member = &c
	}
	m.hashes[bucketOf(r.member.ID)] ^= r.hash()
	m.lost += change01(wasLost, r.doubt == Faulty)
	m.doubted[r.member.FailureDomain] += change01(wasDoubted, r.doubt != Alive)
	if r.doubt == Suspected && !r.watched {
		r.watched = true
		m.suspects = append(m.suspects, r)
	}
	if r.member != before {
		m.directory.put(r.member)
		m.out.Changes = append(m.out.Changes, Change{Member: *r.member})
	}
}

func change01(before, after bool) int {
	switch {
	case after && !before:
		return 1
	case before && !after:
		return -1
	default:
		return 0
	}
}

// replace takes over a newer statement about a known member.
func (m *Members) replace(at time.Duration, r *record, u Update) {
	urgent := u.Member.State != r.declared && (u.Member.State == mustardmast.Draining || u.Member.State == mustardmast.Left)
	refuted := u.Liveness == Alive && r.doubt != Alive
	mass := refuted && m.doubted[r.member.FailureDomain] > massDoubt
	urgent = urgent || refuted && !mass
	wide := false
	m.edit(r, func() {
		if r.declared != u.Member.State || r.doubt != u.Liveness {
			r.since = at
		}
		c := *r.member
		c.Counter = u.Member.Counter
		if !u.Brief {
			wide = c.Service != u.Member.Service || c.Slots != u.Member.Slots || r.started != u.Started
			c.Service, c.Slots = m.intern(u.Member.Service), u.Member.Slots
			r.started = u.Started
		}
		if u.Liveness == Suspected && r.doubt != Suspected {
			r.due = at + m.suspicionTime()
		}
		r.declared, r.doubt, r.private = u.Member.State, u.Liveness, false
		r.member = &c
	})
	m.queue.add(r, wide)
	r.entry.few = mass && !wide
	if urgent {
		m.hurry(r)
	}
	if u.Liveness != Alive && r.member.FailureDomain == m.self.member.FailureDomain && m.doubted[r.member.FailureDomain] <= massDoubt {
		m.hearsay = append(m.hearsay, r)
	}
}

// hearOfSelf refutes doubts about this node.
func (m *Members) hearOfSelf(at time.Duration, u Update) {
	own := m.self.member
	if m.self.declared == mustardmast.Left || u.Member.Counter < own.Counter ||
		u.Member.Counter == own.Counter && u.Liveness == Alive && u.Member.State == m.self.declared {
		return
	}
	m.raise(at, u.Member.Counter+1, func(*mustardmast.Member) {}, false)
}

// insert takes up a member that was not known, if its address is free or held by an earlier incarnation.
func (m *Members) insert(at time.Duration, u Update) bool {
	if u.Brief && u.Liveness == Alive && u.Member.State <= mustardmast.Ready {
		// A live member whose full record this node has missed. Briefs about members that go are no reason to ask:
		// they are often late news about an incarnation that is superseded already.
		m.syncAt = min(m.syncAt, max(at+ProbePeriod, m.syncedAt+syncMissed))
	}
	if u.Brief || u.Member.State == mustardmast.Left || !sound(u.Member) {
		return false
	}
	if holder, taken := m.byAddr[u.Member.Address]; taken {
		if holder == m.self {
			m.keepAddress(at, u)
			return false
		}
		if u.Started < holder.started || u.Started == holder.started && u.Member.ID < holder.member.ID {
			return false
		}
		m.remove(holder, true)
	}
	if len(m.byID) >= m.max && !m.evict() {
		m.refused++
		return false
	}
	c := u.Member
	c.FailureDomain, c.Region, c.Service = m.intern(c.FailureDomain), m.intern(c.Region), m.intern(c.Service)
	r := &record{member: &c, declared: u.Member.State, started: u.Started, since: at}
	c.State = visible(r.declared, Alive)
	m.byID[c.ID], m.byAddr[c.Address] = r, r
	m.place(r)
	m.hashes[bucketOf(c.ID)] ^= r.hash()
	m.directory.put(r.member)
	m.out.Changes = append(m.out.Changes, Change{Member: c})
	if u.Liveness != Alive {
		m.edit(r, func() { r.doubt, r.due = u.Liveness, at+m.suspicionTime() })
	}
	m.queue.add(r, true)
	return true
}

// keepAddress moves this node's start time past that of an earlier incarnation whose clock was ahead.
func (m *Members) keepAddress(at time.Duration, u Update) {
	if u.Started < m.self.started {
		return
	}
	m.self.started = u.Started + 1
	m.raise(at, m.self.member.Counter+1, func(*mustardmast.Member) {}, true)
}

func sound(c mustardmast.Member) bool {
	return c.ID != 0 && c.Address.IsValid() && c.State <= mustardmast.Left &&
		max(len(c.Name), len(c.FailureDomain), len(c.Region), len(c.Service)) <= MaxText &&
		utf8.ValidString(c.Name+c.FailureDomain+c.Region+c.Service) // others could not be encoded
}

// intern shares the few strings that many members have in common. At the bound, strings are kept per member.
func (m *Members) intern(s string) string {
	if known, ok := m.interned[s]; ok {
		return known
	}
	if len(m.interned) < 4096 {
		m.interned[s] = s
	}
	return s
}

// place puts a record at a random position among those not probed yet in this round.
func (m *Members) place(r *record) {
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

// remove forgets a member.
func (m *Members) remove(r *record, superseded bool) {
	id := r.member.ID
	m.hashes[bucketOf(id)] ^= r.hash()
	m.lost += change01(r.doubt == Faulty, false)
	m.doubted[r.member.FailureDomain] += change01(r.doubt != Alive, false)
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

// evict forgets the member that has been gone longest, departed members before unreachable ones.
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

func older(a, b *record) bool {
	if left := a.declared == mustardmast.Left; left != (b.declared == mustardmast.Left) {
		return left
	}
	return a.since < b.since
}

// reap forgets members that have been gone for long.
func (m *Members) reap(at time.Duration) {
	for i := len(m.order) - 1; i >= 0; i-- {
		if r := m.order[i]; r.gone() && at-r.since > keepGone {
			m.remove(r, false)
		}
	}
}
