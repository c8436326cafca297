// Package member is a node's view of all node incarnations: who exists, what each declares about itself, and who is
// doubted.
//
// The protocol is SWIM with a full view. Once a period a node pings one member, in an order that visits everybody.
// Without an ack it asks three others to ping, and without any ack it suspects the member and gossips that. A suspected
// member that hears of it refutes with a higher counter; a suspicion that is not refuted in time makes the member
// unreachable. Everything that a node learns is piggybacked on the next pings and acks. A node that hears of a suspicion
// about a member of its own failure domain pings that member at once, so that it can refute: others may be cut off from
// the domain in one direction only.
//
// A record is ordered by counter first and by doubt second (trusted, suspected, lost), and a member that declared that
// it left stays left. Merging two views takes the greater record of each member, so the order in which datagrams
// arrive, and how often, does not matter. Only the member itself raises its counter.
//
// An address belongs to one incarnation. A record for a later incarnation at an address removes the earlier one. The
// later one is the one with the later start time; a node that finds its address held by a record with a later start
// time than its own moves its start time past it, so the incarnation that really receives at the address wins.
//
// Members does no I/O and starts no goroutine. Events return an Output that the caller sends. The methods of
// mustardmast.Directory read copies that are replaced on change, and never wait for the protocol's lock.
package member

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"mustardmast"
)

// Limits and times of the protocol.
const (
	DefaultMaxMembers = 6144 // 3,800 at target size, a lost failure domain of 317 replaced elsewhere, and headroom

	ProbePeriod    = time.Second
	indirectAfter  = 300 * time.Millisecond // longer than a round trip between regions
	indirectProbes = 3
	baseSuspicion  = 5 * time.Second
	keepGone       = 2 * time.Hour // outlasts a partition between regions of an hour
	lostProbeEvery = 10 * time.Second
	longestLost    = time.Minute
	healingFor     = time.Minute // after a lost member answered, lost members are probed every period
	syncEvery      = time.Minute
	syncMissed     = 15 * time.Second // between comparisons because a member is not known
	syncAgain      = 5 * time.Second  // after a comparison that the budget ended early
	reapEvery      = 10 * time.Second
	pauseGap       = 3 * time.Second // longer between two ticks means that this process was paused
	eagerPeers     = 4
	maxPending     = 16
	maxRelays      = 256
	maxUrgent      = 4096
	MaxText        = 64 // bytes in a name, domain, region or service
)

// Settings are what New needs.
type Settings struct {
	Self       mustardmast.Member
	Seeds      []netip.AddrPort
	MaxMembers int // 0 takes DefaultMaxMembers
	Bucket     *TokenBucket
}

// OutboundPacket is one datagram to send.
type OutboundPacket struct {
	To     netip.AddrPort
	Packet Packet
}

// Change is one member whose visible state changed.
type Change struct {
	Member     mustardmast.Member
	Superseded bool // a later incarnation took the address; this one is dead
}

// Output is what an event asks the caller to do.
type Output struct {
	Packets   []OutboundPacket
	Changes   []Change
	SyncPeers []mustardmast.Member // ask one of these for the records that differ
}

// Members is the view of one node. All methods are safe for concurrent use.
type Members struct {
	*directory

	mu       sync.Mutex
	rng      *rand.Rand
	bucket   *TokenBucket
	seeds    []netip.AddrPort
	max      int
	start    time.Time
	self     *record
	byID     map[mustardmast.NodeID]*record
	byAddr   map[netip.AddrPort]*record
	order    []*record // every other member, shuffled after each round of probes
	next     int
	nextLost int
	suspects []*record
	doubted  map[string]int // doubted members of each failure domain
	lost     int            // members whose liveness is Faulty
	queue    queue
	urgent   []*record
	hearsay  []*record // neighbours that others have begun to doubt, to be pinged at once
	hashes   [HashBuckets]uint32
	interned map[string]string
	refused  uint64
	out      Output

	sequence  uint32
	pending   []probe
	relays    []relay
	health    health
	lastTick  time.Duration
	probeAt   time.Duration
	lostAt    time.Duration
	healUntil time.Duration
	syncAt    time.Duration
	syncedAt  time.Duration
	reapAt    time.Duration
	askedAt   time.Duration

	generation uint64
	changeHash uint32
	digest     []byte
}

// New returns the view of a node that knows nobody yet.
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
		doubted:   map[string]int{},
		interned:  map[string]string{},
		sequence:  rng.Uint32(),
		// A random phase keeps nodes that start together from pinging together.
		probeAt: time.Duration(rng.Int64N(int64(ProbePeriod))),
		lostAt:  time.Duration(rng.Int64N(int64(lostProbeEvery))),
		syncAt:  time.Duration(rng.Int64N(int64(syncEvery))),
	}
	own := s.Self
	m.self = &record{member: &own, declared: own.State, started: uint64(now.UnixMilli()), index: -1}
	m.byID[own.ID] = m.self
	m.byAddr[own.Address] = m.self
	m.hashes[bucketOf(own.ID)] ^= m.self.hash()
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

// Len returns the number of members known, this node and unreachable members included.
func (m *Members) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}

// Rejected returns how many members were not taken up because the table was full of members that are not gone.
func (m *Members) Rejected() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// Declare changes this node's own state, service and slots and gossips it. Draining and Left go out at once.
func (m *Members) Declare(now time.Time, state mustardmast.MemberState, service string, slots uint32) Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.Sub(m.start)
	own := *m.self.member
	if m.self.declared == mustardmast.Left || own.State == state && own.Service == service && own.Slots == slots {
		return Output{}
	}
	wide := own.Service != service || own.Slots != slots
	m.raise(at, own.Counter+1, func(mm *mustardmast.Member) {
		mm.State, mm.Service, mm.Slots = state, service, slots
	}, wide)
	m.flushUrgent(now)
	return m.take()
}

// SetConfig sets the configuration generation that datagrams carry.
func (m *Members) SetConfig(generation uint64, changeHash uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation, m.changeHash = generation, changeHash
}

// SetDigest sets the opaque digest that datagrams carry. Longer digests than MaxDigest are cut.
func (m *Members) SetDigest(d []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.digest = append([]byte(nil), d[:min(len(d), MaxDigest)]...)
}

// raise replaces this node's own record by one with a higher counter.
func (m *Members) raise(at time.Duration, counter uint32, edit func(*mustardmast.Member), wide bool) {
	own := *m.self.member
	own.Counter = counter
	edit(&own)
	m.hashes[bucketOf(own.ID)] ^= m.self.hash()
	m.self.member, m.self.declared, m.self.since = &own, own.State, at
	m.hashes[bucketOf(own.ID)] ^= m.self.hash()
	m.directory.put(&own)
	m.queue.add(m.self, wide)
	m.hurry(m.self)
	m.out.Changes = append(m.out.Changes, Change{Member: own})
}

// take returns what has been collected and starts anew.
func (m *Members) take() Output {
	out := m.out
	m.out = Output{}
	return out
}

// RandomPeers returns up to k different trusted members.
func (m *Members) RandomPeers(k int) []mustardmast.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []mustardmast.Member
	for _, r := range m.pick(k, 0) {
		out = append(out, *r.member)
	}
	return out
}

// pick returns up to k different trusted members other than one.
func (m *Members) pick(k int, except mustardmast.NodeID) []*record {
	out := make([]*record, 0, k)
	n := len(m.order)
	// Random tries first; if most members are doubted, a scan from a random start finds the others.
	for try := 0; try < 4*k && len(out) < k && n > 0; try++ {
		out = appendPeer(out, m.order[m.rng.IntN(n)], except)
	}
	if len(out) < k && n > 0 {
		from := m.rng.IntN(n)
		for i := 0; i < n && len(out) < k; i++ {
			out = appendPeer(out, m.order[(from+i)%n], except)
		}
	}
	return out
}

func appendPeer(out []*record, r *record, except mustardmast.NodeID) []*record {
	if r.member.ID == except || r.doubt != Alive || r.declared == mustardmast.Left {
		return out
	}
	for _, o := range out {
		if o == r {
			return out
		}
	}
	return append(out, r)
}

// InDomain returns the members of a failure domain that are neither doubted nor gone, this node included.
func (m *Members) InDomain(name string) []mustardmast.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []mustardmast.Member
	if m.self.member.FailureDomain == name && m.self.declared != mustardmast.Left {
		out = append(out, *m.self.member)
	}
	for _, r := range m.order {
		if r.member.FailureDomain == name && r.doubt == Alive && r.declared != mustardmast.Left {
			out = append(out, *r.member)
		}
	}
	return out
}

// logScale returns log10 of the number of members, at least 1.
func (m *Members) logScale() float64 {
	return math.Max(1, math.Log10(float64(len(m.byID))))
}

func (m *Members) suspicionTime() time.Duration {
	return time.Duration(float64(baseSuspicion) * m.logScale())
}
