// Package register is the executing node's record of the attempts that it started or will refuse for ever.
//
// The owner of a request sends at most one attempt at a time, and numbers the attempts of an id (the nonce). The
// register holds the last one per id, in one of three states: started, done, or withdrawn. A withdrawn attempt is
// fenced by a tombstone: whoever was told that it was not executed can rely on it, however late the attempt arrives.
//
//	Start           directly before the first byte to the target; refuses what is late, repeated, fenced or misaddressed
//	Finish          the target has answered completely
//	TargetRejected  the target reported that it did not start the request
//	Reject          this node refuses an attempt itself, before Start
//	Withdraw        the owner asks how an attempt ended
//
// Only a refusal with the outcome not-executed lets the owner send another attempt. Start uses it for attempts that
// no copy of can run: those with a tombstone, and those addressed to another incarnation. The second is true because
// an attempt is written to one stream only; a stream to this process never led to the other one.
//
// Records are kept for twice the window of an id. When one is dropped, the register keeps the issue time of its id as
// the floor of the id's owner, and refuses all ids of this owner that are not younger. Such ids were issued at least
// twice a window ago, so the owner would not start them any more either. A message therefore stays refused for ever,
// not only as long as its record is held.
//
// The register is bounded. When it is full, new attempts are refused with not-executed; a part of the room is kept for
// tombstones, so that owners can still settle what was sent. When that is used up too, Withdraw answers Unknown.
package register

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/requestid"
)

const (
	shards = 64
	// tombstoneShare is the part of the room that only tombstones may use.
	tombstoneShare = 8
)

// Limits bound the memory of a register.
type Limits struct {
	Records int // attempts of the last two windows
	Owners  int // owner incarnations with a floor; the one raised longest ago is dropped
}

// DefaultLimits allow about 1,000 attempts a second at the default window.
var DefaultLimits = Limits{Records: 262_144, Owners: 16_384}

type state uint8

const (
	withdrawn state = iota
	started
	done
)

// mapKey identifies an id in fixed size. Two lists of call keys with one hash make the second sub-call be refused,
// which is safe.
type mapKey struct {
	owner mustardmast.NodeID
	seq   uint64
	keys  uint64
}

type record struct {
	at    time.Duration // since the register's start
	ms    uint64        // issue time of the id
	nonce uint32
	state state
}

// Register belongs to one node incarnation. It is safe for concurrent use.
type Register struct {
	self    mustardmast.NodeID
	start   time.Time
	keep    time.Duration
	limits  Limits
	records atomic.Int64
	floors  floors
	shards  [shards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[mapKey]record
	order   []turn // oldest first; a record that was touched again goes to the end when its turn comes
}

type turn struct {
	key mapKey
	at  time.Duration
}

// New returns the empty register of the incarnation self, which started at start. The window is that of request ids.
func New(self mustardmast.NodeID, start time.Time, window time.Duration, l Limits) *Register {
	r := &Register{self: self, start: start, keep: 2 * window, limits: l, floors: floors{limit: l.Owners}}
	for i := range r.shards {
		r.shards[i].records = make(map[mapKey]record)
	}
	return r
}

// Len returns the number of attempts and tombstones that are held.
func (r *Register) Len() int { return int(r.records.Load()) }

// Start records that an attempt is about to reach the target, and returns an error when it must not. The caller reads
// now directly before the call, and writes to the target directly after it: a process that was paused in between finds
// its deadline passed. A zero deadline means none.
func (r *Register) Start(now time.Time, a ledger.Attempt, deadline time.Time) error {
	if a.Executor != r.self {
		return r.misaddressed(a)
	}
	k := keyOf(a.ID)
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.sweep(s, now)
	old, ok := s.records[k]
	switch {
	case ok && old.state == withdrawn && a.Nonce <= old.nonce:
		return fault.New(fault.Fenced, "the attempt was withdrawn before it arrived")
	case ok && old.state == started:
		return fault.New(fault.InProgress, "an attempt of this request has started here")
	case ok && old.state == done:
		return fault.New(fault.AlreadyExecuted, "an attempt of this request has finished here")
	case !ok && r.floors.covers(a.ID):
		return forgotten()
	case !deadline.IsZero() && !now.Before(deadline):
		r.put(s, now, k, a, withdrawn)
		return fault.New(fault.DeadlinePassed, "the deadline passed before the request reached the target")
	case !r.put(s, now, k, a, started):
		return fault.New(fault.LedgerFull, "the executing node holds as many attempts as it may")
	}
	return nil
}

// Finish records that the target answered the attempt completely.
func (r *Register) Finish(now time.Time, a ledger.Attempt) { r.end(now, a, done) }

// TargetRejected records that the target reported that it did not start the attempt. A tombstone keeps copies of it out.
func (r *Register) TargetRejected(now time.Time, a ledger.Attempt) { r.end(now, a, withdrawn) }

func (r *Register) end(now time.Time, a ledger.Attempt, to state) {
	k := keyOf(a.ID)
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[k]; ok && old.state == started && old.nonce == a.Nonce && a.Executor == r.self {
		r.put(s, now, k, a, to)
	}
}

// Reject returns the refusal of an attempt that has not started, and fences the attempt so that the refusal stays
// true. If the attempt has started in spite of it, the answer says so.
func (r *Register) Reject(now time.Time, a ledger.Attempt, refusal error) error {
	switch r.Withdraw(now, a) {
	case ledger.Gone:
		return r.misaddressed(a)
	case ledger.Running:
		return fault.New(fault.InProgress, "a copy of this attempt has started here")
	case ledger.Executed:
		return fault.New(fault.AlreadyExecuted, "a copy of this attempt has finished here")
	case ledger.Unreachable:
		if r.floors.covers(a.ID) {
			return forgotten()
		}
		// Without room for a tombstone the refusal rests on the transport, which delivers an attempt once.
	}
	return refusal
}

func (r *Register) misaddressed(a ledger.Attempt) error {
	return fault.Newf(fault.WrongIncarnation, "addressed to node %016x, this is %016x", uint64(a.Executor), uint64(r.self))
}

func forgotten() error {
	return fault.New(fault.RequestIDExpired, "the request id is older than what this node remembers")
}

// Withdraw tells the owner how an attempt ended. Unless it has started, it never will.
func (r *Register) Withdraw(now time.Time, a ledger.Attempt) ledger.AttemptStatus {
	if a.Executor != r.self {
		return ledger.Gone
	}
	k := keyOf(a.ID)
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.sweep(s, now)
	old, ok := s.records[k]
	switch {
	case ok && old.state != withdrawn && a.Nonce < old.nonce:
		return ledger.NotExecuted // a later attempt started, which the owner sends only after this one was refused
	case ok && old.state == started:
		return ledger.Running
	case ok && old.state == done:
		return ledger.Executed
	case ok && a.Nonce <= old.nonce:
		return ledger.NotExecuted
	case !ok && r.floors.covers(a.ID):
		return ledger.Unreachable // the record may have been dropped
	case !r.put(s, now, k, a, withdrawn):
		return ledger.Unreachable
	}
	return ledger.NotExecuted
}

// Tick drops old records of all shards. It is called about once a second.
func (r *Register) Tick(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		r.sweep(s, now)
		s.mu.Unlock()
	}
}

// put sets the record of k, and reports false when there is no room for it.
func (r *Register) put(s *shard, now time.Time, k mapKey, a ledger.Attempt, to state) bool {
	at := now.Sub(r.start)
	if _, ok := s.records[k]; !ok {
		room := r.limits.Records
		if to != withdrawn {
			room -= room / tombstoneShare
		}
		if r.records.Add(1) > int64(room) {
			r.records.Add(-1)
			return false
		}
		s.order = append(s.order, turn{key: k, at: at})
	}
	s.records[k] = record{at: at, ms: uint64(a.ID.IssuedAt().Milliseconds()), nonce: a.Nonce, state: to}
	return true
}

// sweep drops records that nothing has touched for twice the window.
func (r *Register) sweep(s *shard, now time.Time) {
	end := now.Sub(r.start) - r.keep
	for len(s.order) > 0 {
		first := s.order[0]
		if first.at > end {
			return
		}
		s.order = s.order[1:]
		old := s.records[first.key]
		if old.at > end {
			s.order = append(s.order, turn{key: first.key, at: old.at})
			continue
		}
		r.floors.raise(first.key.owner, old.ms, old.at)
		delete(s.records, first.key)
		r.records.Add(-1)
	}
}

func (r *Register) shard(k mapKey) *shard { return &r.shards[k.seq%shards] }

func keyOf(id requestid.ID) mapKey {
	k := mapKey{owner: id.Owner(), seq: id.Sequence()}
	if id.CallKeys() != "" {
		k.keys = xxhash.Sum64String(id.CallKeys())
	}
	return k
}
