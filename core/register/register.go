// Package register records, on the executing node, the attempts that were started there or must never start.
//
// The owner of a request sends at most one attempt at a time and numbers the attempts of an ID with a nonce. The
// register holds the last attempt per ID in one of three states: started, done or withdrawn. A withdrawn attempt is
// fenced by a tombstone, so a report that it was not executed remains true however late a copy of it arrives.
//
//	Start           called before the first byte to the target; rejects late, repeated, fenced or misaddressed ones
//	Finish          the target has answered completely
//	TargetRejected  the target reported that it did not start the request
//	Reject          this node rejects an attempt itself, before Start
//	Withdraw        the owner asks for the outcome of an attempt
//
// Only a rejection with the outcome not-executed lets the owner send another attempt. Start uses that outcome only if
// no copy of the attempt can run: if it has a tombstone, or if it is addressed to another incarnation. In the latter
// case no copy can run because an attempt is written to one stream only, and a stream to this process never led to
// another one.
//
// Records are kept for twice the validity window of an ID. When a record is dropped, the issue time of its ID becomes
// the watermark of the ID's owner, and the register rejects all IDs of that owner that were issued no later. Such IDs
// were issued at least two windows ago, so the owner would not start them either. An attempt therefore stays rejected
// forever, not only while its record is held.
//
// The register is bounded. When it is full, new attempts are rejected with not-executed. A part of the capacity is
// reserved for tombstones, so that owners can still settle the attempts that they sent. When that is used up too,
// Withdraw returns Unreachable, and the outcome stays unknown.
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
	// tombstoneDivisor sets the part of the capacity that is reserved for tombstones, one eighth.
	tombstoneDivisor = 8
)

// Limits bound the memory of a Register.
type Limits struct {
	Records int // attempts and tombstones, which are kept for two validity windows
	Owners  int // owner incarnations with a watermark; the one raised longest ago is dropped
}

// DefaultLimits allow about 1,000 attempts per second with the default window.
var DefaultLimits = Limits{Records: 262_144, Owners: 16_384}

type state uint8

const (
	withdrawn state = iota // must not start; the record is a tombstone
	started                // sent to the target
	done                   // completely answered by the target
)

// recordKey is a fixed-size key for an ID. If the call keys of two sub-calls have the same hash, the second is
// rejected, which is safe.
type recordKey struct {
	owner mustardmast.NodeID
	seq   uint64
	keys  uint64 // hash of the call keys
}

type record struct {
	at       time.Duration // last use, since the register's start
	issuedMs uint64        // issue time of the ID
	nonce    uint32
	state    state
}

// Register belongs to one node incarnation. It is safe for concurrent use.
type Register struct {
	self       mustardmast.NodeID
	start      time.Time
	retention  time.Duration
	limits     Limits
	records    atomic.Int64
	watermarks watermarks
	shards     [shards]shard
}

type shard struct {
	mu         sync.Mutex
	records    map[recordKey]record
	sweepOrder []sweepEntry // oldest first; sweep moves a record that was used since to the end
}

type sweepEntry struct {
	key recordKey
	at  time.Duration
}

// New returns an empty register for the incarnation self, which started at start. The window is the validity window of
// request IDs.
func New(self mustardmast.NodeID, start time.Time, window time.Duration, l Limits) *Register {
	r := &Register{self: self, start: start, retention: 2 * window, limits: l, watermarks: watermarks{limit: l.Owners}}
	for i := range r.shards {
		r.shards[i].records = make(map[recordKey]record)
	}
	return r
}

// Len returns the number of attempts and tombstones held.
func (r *Register) Len() int { return int(r.records.Load()) }

// Start records that an attempt is about to be sent to the target, or returns an error if it must not be. The caller
// must read the clock for now directly before the call and write to the target directly after it, so that a process
// that was paused before the call finds the deadline passed. A zero deadline means none.
func (r *Register) Start(now time.Time, a ledger.Attempt, deadline time.Time) error {
	if a.Executor != r.self {
		return r.wrongIncarnationError(a)
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
	case !ok && r.watermarks.covers(a.ID):
		return expiredError()
	case !deadline.IsZero() && !now.Before(deadline):
		r.put(s, now, k, a, withdrawn)
		return fault.New(fault.DeadlinePassed, "the deadline passed before the request reached the target")
	case !r.put(s, now, k, a, started):
		return fault.New(fault.LedgerFull, "the executing node's register of attempts is full")
	}
	return nil
}

// Finish records that the target has answered the attempt completely.
func (r *Register) Finish(now time.Time, a ledger.Attempt) { r.finishAs(now, a, done) }

// TargetRejected records that the target reported that it did not start the attempt. A tombstone fences copies of it.
func (r *Register) TargetRejected(now time.Time, a ledger.Attempt) { r.finishAs(now, a, withdrawn) }

func (r *Register) finishAs(now time.Time, a ledger.Attempt, to state) {
	k := keyOf(a.ID)
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[k]; ok && old.state == started && old.nonce == a.Nonce && a.Executor == r.self {
		r.put(s, now, k, a, to)
	}
}

// Reject fences an attempt that has not started and returns the given rejection, which thereby stays true. If the
// attempt has started nevertheless, the returned error says so.
func (r *Register) Reject(now time.Time, a ledger.Attempt, rejection error) error {
	switch r.Withdraw(now, a) {
	case ledger.Gone:
		return r.wrongIncarnationError(a)
	case ledger.Running:
		return fault.New(fault.InProgress, "a copy of this attempt has started here")
	case ledger.Executed:
		return fault.New(fault.AlreadyExecuted, "a copy of this attempt has finished here")
	case ledger.Unreachable:
		if r.watermarks.covers(a.ID) {
			return expiredError()
		}
		// There is no room for a tombstone. The rejection relies on the transport, which delivers an attempt once.
	}
	return rejection
}

func (r *Register) wrongIncarnationError(a ledger.Attempt) error {
	return fault.Newf(fault.WrongIncarnation, "attempt addressed to node %016x, but this is node %016x", uint64(a.Executor), uint64(r.self))
}

func expiredError() error {
	return fault.New(fault.RequestIDExpired, "the request id is older than the records that this node keeps")
}

// Withdraw returns the outcome of an attempt to its owner. An attempt that has not started is fenced and never starts.
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
		return ledger.NotExecuted // a later attempt started, which the owner sends only after this one was rejected
	case ok && old.state == started:
		return ledger.Running
	case ok && old.state == done:
		return ledger.Executed
	case ok && a.Nonce <= old.nonce:
		return ledger.NotExecuted
	case !ok && r.watermarks.covers(a.ID):
		return ledger.Unreachable // the record may have been dropped
	case !r.put(s, now, k, a, withdrawn):
		return ledger.Unreachable
	}
	return ledger.NotExecuted
}

// Tick drops expired records. It has to be called about once per second.
func (r *Register) Tick(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		r.sweep(s, now)
		s.mu.Unlock()
	}
}

// put sets the record of k. It returns false if there is no room for it.
func (r *Register) put(s *shard, now time.Time, k recordKey, a ledger.Attempt, to state) bool {
	at := now.Sub(r.start)
	if _, ok := s.records[k]; !ok {
		capacity := r.limits.Records
		if to != withdrawn {
			capacity -= capacity / tombstoneDivisor
		}
		if r.records.Add(1) > int64(capacity) {
			r.records.Add(-1)
			return false
		}
		s.sweepOrder = append(s.sweepOrder, sweepEntry{key: k, at: at})
	}
	s.records[k] = record{at: at, issuedMs: uint64(a.ID.IssuedAt().Milliseconds()), nonce: a.Nonce, state: to}
	return true
}

// sweep drops the records of a shard that have not been used for two windows.
func (r *Register) sweep(s *shard, now time.Time) {
	cutoff := now.Sub(r.start) - r.retention
	for len(s.sweepOrder) > 0 {
		first := s.sweepOrder[0]
		if first.at > cutoff {
			return
		}
		s.sweepOrder = s.sweepOrder[1:]
		old := s.records[first.key]
		if old.at > cutoff {
			s.sweepOrder = append(s.sweepOrder, sweepEntry{key: first.key, at: old.at})
			continue
		}
		r.watermarks.raise(first.key.owner, old.issuedMs, old.at)
		delete(s.records, first.key)
		r.records.Add(-1)
	}
}

func (r *Register) shard(k recordKey) *shard { return &r.shards[k.seq%shards] }

func keyOf(id requestid.ID) recordKey {
	k := recordKey{owner: id.Owner(), seq: id.Sequence()}
	if id.CallKeys() != "" {
		k.keys = xxhash.Sum64String(id.CallKeys())
	}
	return k
}
