// Package member implements group membership and failure detection. It maintains a node's view of all node
// incarnations: which exist, what each declares about itself, and which are suspected or faulty.
//
// The protocol is SWIM with a full view. In each period a node pings one member, in an order that visits all members.
// If there is no ack, it asks three others to ping the member. If they get no ack either, it suspects the member and
// gossips the suspicion. A suspected member that receives the suspicion refutes it with a higher counter. A member that
// does not refute in time becomes faulty, and its visible state unreachable. Updates are piggybacked on subsequent
// pings and acks. A node that receives a suspicion of a member of its own failure domain pings that member at once, so
// that it can refute: the suspecting nodes may be cut off from the domain in one direction only.
//
// Records are ordered by counter and then by liveness (alive, suspected, faulty), and a member that declared itself
// left stays left. Merging two views takes the greater record of each member, so the result does not depend on the
// order in which packets arrive, nor on duplicates. Only the member itself increments its counter.
//
// An address belongs to one incarnation, the one with the latest start time. A record of a later incarnation at an
// address removes the earlier one. A node that finds its address held by a record with a later start time than its own
// advances its start time past it, so that the incarnation that really receives at the address wins.
//
// Members does no I/O and starts no goroutines. Its methods return an Output for the caller to carry out. The methods
// of mustardmast.Directory read copy-on-write data and never wait for the protocol's lock.
package member

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"mustardmast"
)

// Limits and intervals of the protocol.
const (
	DefaultMaxMembers = 6144 // 3,800 at target size, a failed domain of 317 replaced elsewhere, and headroom

	ProbePeriod            = time.Second
	indirectProbeDelay     = 300 * time.Millisecond // longer than a round trip between regions takes
	indirectProbes         = 3
	baseSuspicionTimeout   = 5 * time.Second // multiplied by logScale
	goneRetention          = 2 * time.Hour   // outlasts an hour's partition between regions
	minFaultyProbeInterval = 10 * time.Second
	maxFaultyProbeInterval = time.Minute
	recoveryPeriod         = time.Minute // how long faulty members are probed more often after one of them answered
	syncInterval           = time.Minute
	unknownMemberSyncDelay = 15 * time.Second // between syncs that unknown members cause, and after a rejected one
	syncRetryDelay         = 5 * time.Second  // after a sync that the budget ended early, or a failed first one
	joinSyncDelay          = 2 * time.Second  // from the first member that a starting node learns of
	reapInterval           = 10 * time.Second
	pauseThreshold         = 3 * time.Second // a longer gap between ticks means that this process was paused
	urgentFanout           = 4
	maxPendingProbes       = 16
	maxRelays              = 256
	maxUrgent              = 4096
	MaxStringBytes         = 64 // max bytes of a name, domain, region or service
)

// Settings configure New.
type Settings struct {
	Self       mustardmast.Member
	Seeds      []netip.AddrPort // pinged while there is no member to probe
	MaxMembers int              // 0 means DefaultMaxMembers
	Bucket     *TokenBucket     // nil means a bucket with DefaultRate and DefaultBurst
}

// OutboundPacket is a packet to send and its destination.
type OutboundPacket struct {
	To     netip.AddrPort
	Packet Packet
}

// Change reports a member that was added or whose visible record changed.
type Change struct {
	Member     mustardmast.Member
	Superseded bool // a later incarnation took over the address, so this one is dead
}

// Output is what the caller of a method must do next.
type Output struct {
	Packets   []OutboundPacket
	Changes   []Change
	SyncPeers []mustardmast.Member // run an anti-entropy exchange with one of these
}

// Members is one node's view of the fleet. It is safe for concurrent use.
type Members struct {
	*directory

	mu             sync.Mutex
	rng            *rand.Rand
	bucket         *TokenBucket
	seeds          []netip.AddrPort
	max            int       // limit of byID, including this node
	start          time.Time // times of type time.Duration are relative to it
	self           *record
	byID           map[mustardmast.NodeID]*record
	byAddr         map[netip.AddrPort]*record
	order          []*record // every other member, shuffled after each round of probes
	next           int       // index in order of the next member to probe
	nextFaulty     int       // index in order of the last faulty member probed
	suspects       []*record
	notAlive       map[string]int // members of each failure domain that are suspected or faulty
	faulty         int            // members whose liveness is Faulty
	queue          queue
	urgent         []*record
	domainSuspects []*record // members of the own domain that other nodes suspect, to be pinged at once
	hashes         [HashBuckets]uint32
	interned       map[string]string
	rejected       uint64
	out            Output

	sequence      uint32
	pending       []probe
	relays        []relay
	localHealth   localHealth
	lastTick      time.Duration
	probeAt       time.Duration
	faultyProbeAt time.Duration
	recoveryUntil time.Duration
	syncAt        time.Duration
	syncedAt      time.Duration
	synced        bool // an exchange has reached its last page
	reapAt        time.Duration
	introduceAt   time.Duration // earliest time of the next packet sent only to exchange full records

	generation uint64
	changeHash uint32
	digest     []byte
}

// New returns the view of a node that knows no other members.
func New(now time.Time, s Settings, rng *rand.Rand) *Members {
	if s.MaxMembers == 0 {
		s.MaxMembers = DefaultMaxMembers
	}
	if s.Bucket == nil {
		s.Bucket = NewTokenBucket(now, DefaultRate, DefaultBurst)
	}
	m := &Members{
		directory: newDirectory(),
		rng:       rng,
		bucket:    s.Bucket,
		seeds:     s.Seeds,
		max:       s.MaxMembers,
		start:     now,
		byID:      map[mustardmast.NodeID]*record{},
		byAddr:    map[netip.AddrPort]*record{},
		notAlive:  map[string]int{},
		interned:  map[string]string{},
		sequence:  rng.Uint32(),
		// Random phases keep nodes that start at the same time from pinging in lockstep.
		probeAt:       time.Duration(rng.Int64N(int64(ProbePeriod))),
		faultyProbeAt: time.Duration(rng.Int64N(int64(minFaultyProbeInterval))),
		syncAt:        time.Duration(rng.Int64N(int64(syncInterval))),
	}
	own := s.Self
	m.self = &record{member: &own, declared: own.State, started: uint64(now.UnixMilli()), index: -1}
	m.byID[own.ID] = m.self
	m.byAddr[own.Address] = m.self
	m.hashes[hashBucket(own.ID)] ^= m.self.hash()
	m.directory.put(m.self.member)
	m.queue.add(m.self, true)
	return m
}

// Self returns this node's own record.
func (m *Members) Self() mustardmast.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.self.member
}

// Len returns the number of known members, including this node and members that are gone.
func (m *Members) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}

// Rejected returns how often a new member was rejected because the table was full and no member in it was gone.
func (m *Members) Rejected() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rejected
}

// Declare changes this node's state, service and slots, and gossips the change at once.
func (m *Members) Declare(now time.Time, state mustardmast.MemberState, service string, slots uint32) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	own := *m.self.member
	if m.self.declared == mustardmast.Left || own.State == state && own.Service == service && own.Slots == slots {
		return Output{}
	}
	full := own.Service != service || own.Slots != slots
	m.updateSelf(at, own.RefutationCounter+1, func(mm *mustardmast.Member) {
		mm.State, mm.Service, mm.Slots = state, service, slots
	}, full)
	m.flushUrgent(now)
	return m.takeOutput()
}

// SetConfig sets the configuration generation and change hash that packets carry.
func (m *Members) SetConfig(generation uint64, changeHash uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation, m.changeHash = generation, changeHash
}

// SetDigest sets the opaque digest that packets carry. It is truncated to MaxDigest bytes.
func (m *Members) SetDigest(d []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.digest = append([]byte(nil), d[:min(len(d), MaxDigest)]...)
}

// updateSelf replaces this node's own record with one that has a higher counter, and gossips it.
func (m *Members) updateSelf(at time.Duration, counter uint32, edit func(*mustardmast.Member), full bool) {
	own := *m.self.member
	own.RefutationCounter = counter
	edit(&own)
	m.hashes[hashBucket(own.ID)] ^= m.self.hash()
	m.self.member, m.self.declared, m.self.changedAt = &own, own.State, at
	m.hashes[hashBucket(own.ID)] ^= m.self.hash()
	m.directory.put(&own)
	m.queue.add(m.self, full)
	m.markUrgent(m.self)
	m.out.Changes = append(m.out.Changes, Change{Member: own})
}

// takeOutput returns the collected output and resets it.
func (m *Members) takeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// RandomPeers returns up to k distinct other members, chosen at random, that are alive and have not left.
func (m *Members) RandomPeers(k int) []mustardmast.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []mustardmast.Member
	for _, r := range m.randomAlive(k, 0) {
		out = append(out, *r.member)
	}
	return out
}

// randomAlive returns up to k distinct members, chosen at random, that are alive and have not left. It skips this node
// and the member except.
func (m *Members) randomAlive(k int, except mustardmast.NodeID) []*record {
	out := make([]*record, 0, k)
	n := len(m.order)
	// If random picks do not find enough members because most are not alive, scan from a random position.
	for try := 0; try < 4*k && len(out) < k && n > 0; try++ {
		out = appendAlive(out, m.order[m.rng.IntN(n)], except)
	}
	if len(out) < k && n > 0 {
		from := m.rng.IntN(n)
		for i := 0; i < n && len(out) < k; i++ {
			out = appendAlive(out, m.order[(from+i)%n], except)
		}
	}
	return out
}

// appendAlive appends r unless it is excluded, not alive or already in out.
func appendAlive(out []*record, r *record, except mustardmast.NodeID) []*record {
	if r.member.ID == except || r.liveness != Alive || r.declared == mustardmast.Left {
		return out
	}
	for _, o := range out {
		if o == r {
			return out
		}
	}
	return append(out, r)
}

// InDomain returns the members of a failure domain that are alive and have not left, including this node.
func (m *Members) InDomain(name string) []mustardmast.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []mustardmast.Member
	if m.self.member.FailureDomain == name && m.self.declared != mustardmast.Left {
		out = append(out, *m.self.member)
	}
	for _, r := range m.order {
		if r.member.FailureDomain == name && r.liveness == Alive && r.declared != mustardmast.Left {
			out = append(out, *r.member)
		}
	}
	return out
}

// logScale returns log10 of the number of members, at least 1.
func (m *Members) logScale() float64 {
	return math.Max(1, math.Log10(float64(len(m.byID))))
}

func (m *Members) suspicionTimeout() time.Duration {
	return time.Duration(float64(baseSuspicionTimeout) * m.logScale())
}
