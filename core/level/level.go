// Package level tracks, at the sender, which fraction of each kind of request a service admits.
//
// A kind is a service, a method, a priority and a backer. Each response carries the admission level of the target that
// sent it, or the lowest level of the sub-calls that the method usually makes, if that is lower; SubCalls tracks these
// sub-calls. The method is part of the kind because methods of one service differ in their sub-calls: without it, an
// overloaded service would also stop requests that never reach it. A sender that knows the level rejects a call that
// would be shed further down the chain, before any work is done. The levels of the targets of one service differ a
// little; the table keeps a moving average over their responses.
//
// A call rejected by its sender never reaches the service, which would therefore underestimate the demand. The table
// counts the calls withheld since the last forwarded one, and this count is sent with the next call. When no call would
// be forwarded at all, one is forwarded from time to time, so that the count is reported and the level is updated.
//
// Levels expire after 2 s. The table is bounded; at the bound, levels of new kinds are not recorded, so that their
// calls are forwarded and decided on at the target. Unknown backers share one entry.
package level

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/share"
)

const (
	// Expiry is the time after which a level is no longer used.
	Expiry = 2 * time.Second
	// probeInterval is the time after which one call is forwarded although its cohort is above the level.
	probeInterval = 100 * time.Millisecond
	// trialInterval is the corresponding time for calls that would do work before they reach the service whose level
	// they exceed; see SubCalls.
	trialInterval = time.Second
	// DefaultSize is the default bound on the entries, enough for 100 methods with 4 priorities and 10 backers.
	DefaultSize = 4096
	shards      = 16
	// A response moves the level by a fraction of the difference. The fraction grows with the time since the last
	// response, with the time constant levelTimeConstant, and is at least minWeight. The delays of the hops of a chain
	// add up; with ten times the time constant, the levels at the entry oscillated around those of the last hop.
	levelTimeConstant = 100 * time.Millisecond
	minWeight         = 0.1
	// maxStepFraction bounds the change by one response, as a fraction of the whole range. It is scaled by the same
	// weight.
	maxStepFraction = 0.3
	// nestedMarginPercent is the margin for sub-calls, for whose requests work has been done already.
	nestedMarginPercent = 60
)

// Spec holds the parameters of a Table.
type Spec struct {
	Share *share.Share // configured backers; nil means none
	Size  int          // maximum number of entries; 0 means DefaultSize
}

// Table holds the known levels. It is safe for concurrent use. Use New.
type Table struct {
	share  atomic.Pointer[share.Share]
	bound  int // maximum number of entries per shard
	shards [shards]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[key]*entry
}

type key struct {
	service  string
	method   string
	priority call.Priority
	backer   int
}

// entry is the state of one kind of request.
type entry struct {
	level         float64
	updated       time.Time
	lastForwarded time.Time
	trial         time.Time // when trial last allowed a call
	withheld      uint32    // calls withheld since the last forwarded one
}

// New returns an empty table.
func New(s Spec) *Table {
	if s.Size <= 0 {
		s.Size = DefaultSize
	}
	if s.Share == nil {
		s.Share = share.New(nil)
	}
	t := &Table{bound: max(s.Size/shards, 1)}
	t.share.Store(s.Share)
	for i := range t.shards {
		t.shards[i].entries = make(map[key]*entry)
	}
	return t
}

// SetBackers applies a new configuration and removes all levels.
func (t *Table) SetBackers(backers []config.Backer) {
	t.share.Store(share.New(backers))
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		clear(s.entries)
		s.mu.Unlock()
	}
}

func (t *Table) shard(service string) *shard {
	return &t.shards[xxhash.Sum64String(service)%shards]
}

// Learn records the level that the response to c carried.
func (t *Table) Learn(now time.Time, c call.Call, l mustardmast.Level) {
	k := t.key(c)
	s := t.shard(c.Service())
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[k]
	if e == nil {
		if l >= mustardmast.FullLevel {
			return // a missing entry means the full level
		}
		if !s.makeRoom(now, t.bound) {
			return
		}
		e = &entry{level: call.NumCohorts, lastForwarded: now}
		s.entries[k] = e
	}
	weight := 1.0
	if e.valid(now) {
		weight = max(1-math.Exp(-now.Sub(e.updated).Seconds()/levelTimeConstant.Seconds()), minWeight)
	} else {
		e.level = call.NumCohorts
	}
	bound := weight * maxStepFraction * call.NumCohorts
	e.level += min(max((float64(min(l, mustardmast.FullLevel))-e.level)*weight, -bound), bound)
	e.updated = now
}

// makeRoom makes room for one entry by removing expired ones if the shard is full. It returns false if there are none.
func (s *shard) makeRoom(now time.Time, bound int) bool {
	if len(s.entries) < bound {
		return true
	}
	for k, e := range s.entries {
		if !e.valid(now) {
			delete(s.entries, k)
		}
	}
	return len(s.entries) < bound
}

// valid reports whether the level has not expired.
func (e *entry) valid(now time.Time) bool { return !e.updated.IsZero() && now.Sub(e.updated) < Expiry }

func (e *entry) current(now time.Time) mustardmast.Level {
	if !e.valid(now) {
		return mustardmast.FullLevel
	}
	return mustardmast.Level(e.level + 0.5)
}

func (t *Table) key(c call.Call) key {
	return key{c.Service(), c.Method(), c.Priority(), t.share.Load().Index(c.Backer())}
}

// Level returns the known level of a method, or FullLevel if it is unknown.
func (t *Table) Level(now time.Time, service, method string, p call.Priority, backer string) mustardmast.Level {
	s := t.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key{service, method, p, t.share.Load().Index(backer)}]; e != nil {
		return e.current(now)
	}
	return mustardmast.FullLevel
}

// trial reports whether a call may start although its cohort exceeds the level, to find out whether the level has
// risen.
func (t *Table) trial(now time.Time, service, method string, p call.Priority, backer string) bool {
	s := t.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key{service, method, p, t.share.Load().Index(backer)}]
	if e == nil {
		return true
	}
	if now.Sub(e.trial) < trialInterval {
		return false
	}
	e.trial = now
	return true
}

// Admit reports whether a call may be forwarded to its service. Carried is the number of withheld calls that was
// received with the parent call, 0 at the entry. For a forwarded call, Admit returns the number of withheld calls to
// send with it; for a rejected call, it adds the number to that of the next call.
func (t *Table) Admit(now time.Time, c call.Call, carried uint32) (withheld uint32, ok bool) {
	s := t.shard(c.Service())
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[t.key(c)]
	if e == nil {
		return carried, true
	}
	l := int(e.current(now))
	if c.Depth() > 1 {
		l += l * nestedMarginPercent / 100
	}
	if c.Cohort() < l || now.Sub(e.lastForwarded) >= probeInterval {
		withheld = addWithheld(e.withheld, carried)
		e.withheld, e.lastForwarded = 0, now
		return withheld, true
	}
	e.withheld = addWithheld(e.withheld, addWithheld(carried, 1))
	return 0, false
}

// maxWithheld bounds the counts that other nodes report.
const maxWithheld = 1 << 20

func addWithheld(a, b uint32) uint32 {
	return min(min(a, maxWithheld)+min(b, maxWithheld), maxWithheld)
}

// Len returns the number of entries.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].entries)
		t.shards[i].mu.Unlock()
	}
	return n
}
