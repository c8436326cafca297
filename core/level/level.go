// Package level remembers, at the sender, which part of each kind of request a service admits.
//
// A kind is a service, a method, a priority and a backer. Answers carry the level of the target that gave them, already
// reduced to the lowest level of the sub-calls that the method makes; SubCalls knows which these are. The method is part
// of the kind because methods of one service differ in what they call: without it, a service that is short of capacity
// would also stop the requests that never reach it. A sender that has learned a level refuses a call that the chain would shed anyway, before any work is done. Targets of
// one service differ a little; the table keeps a running average over their answers.
//
// A refused call never reaches the service, which would therefore not know the demand. The table counts the calls
// withheld since the last forwarded one, and that number travels with the next call. When no call would be forwarded
// at all, one is let through from time to time, so that the count arrives and the level is renewed.
//
// What was learned expires after 2 s. The table is bounded; at the bound, new kinds are not learned, which means that
// their calls are forwarded and judged at the target. Unknown backers share one entry.
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
	// Expiry is the time that a learned level holds.
	Expiry = 2 * time.Second
	// probeEvery is the time after which one call is forwarded although its cohort is above the level.
	probeEvery = 100 * time.Millisecond
	// trialEvery is the same for calls that would do work before they reach the level; see SubCalls.
	trialEvery = time.Second
	// DefaultSize bounds the table: about 100 methods with 4 priorities and 10 backers.
	DefaultSize = 4096
	shards      = 16
	// An answer moves the level by a part of the difference that grows with the time since the last one, with this time
	// constant, and by leastPart at least. A chain adds up the delays of its hops; with ten times as much, the levels
	// at the entry swung around those of the last hop.
	memory    = 100 * time.Millisecond
	leastPart = 0.1
	// boundPart is the part of the whole range that an answer may move the level, in relation to the same growth.
	boundPart = 0.3
	// marginPercent is the margin for calls below the first hop, for which work has been done already.
	marginPercent = 60
)

// Spec has the parts of a Table by name.
type Spec struct {
	Share *share.Share
	Size  int // bound on the entries, 0 takes DefaultSize
}

// Table holds learned levels. It is safe for concurrent use. Use New.
type Table struct {
	share  atomic.Pointer[share.Share]
	bound  int // per shard
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

type entry struct {
	level     float64
	learned   time.Time
	forwarded time.Time
	trial     time.Time
	withheld  uint32
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

// SetBackers takes a new configuration. What was learned by the old one is forgotten.
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

// Learn takes the level that the answer to c carried.
func (t *Table) Learn(now time.Time, c call.Call, l mustardmast.Level) {
	k := t.key(c)
	s := t.shard(c.Service())
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[k]
	if e == nil {
		if l >= mustardmast.FullLevel {
			return // full is what is assumed without an entry
		}
		if !s.room(now, t.bound) {
			return
		}
		e = &entry{level: call.NumCohorts, forwarded: now}
		s.entries[k] = e
	}
	part := 1.0
	if e.fresh(now) {
		part = max(1-math.Exp(-now.Sub(e.learned).Seconds()/memory.Seconds()), leastPart)
	} else {
		e.level = call.NumCohorts
	}
	bound := part * boundPart * call.NumCohorts
	e.level += min(max((float64(min(l, mustardmast.FullLevel))-e.level)*part, -bound), bound)
	e.learned = now
}

// room makes room for one entry by dropping those that have expired and have nothing to report.
func (s *shard) room(now time.Time, bound int) bool {
	if len(s.entries) < bound {
		return true
	}
	for k, e := range s.entries {
		if !e.fresh(now) {
			delete(s.entries, k)
		}
	}
	return len(s.entries) < bound
}

func (e *entry) fresh(now time.Time) bool { return !e.learned.IsZero() && now.Sub(e.learned) < Expiry }

func (e *entry) value(now time.Time) mustardmast.Level {
	if !e.fresh(now) {
		return mustardmast.FullLevel
	}
	return mustardmast.Level(e.level + 0.5)
}

func (t *Table) key(c call.Call) key {
	return key{c.Service(), c.Method(), c.Priority(), t.share.Load().Index(c.Backer())}
}

// Level returns what is known of a method, FullLevel if nothing is.
func (t *Table) Level(now time.Time, service, method string, p call.Priority, backer string) mustardmast.Level {
	s := t.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key{service, method, p, t.share.Load().Index(backer)}]; e != nil {
		return e.value(now)
	}
	return mustardmast.FullLevel
}

// trial reports whether a call that is above a level may start all the same, to find out whether the level still holds.
func (t *Table) trial(now time.Time, service, method string, p call.Priority, backer string) bool {
	s := t.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key{service, method, p, t.share.Load().Index(backer)}]
	if e == nil {
		return true
	}
	if now.Sub(e.trial) < trialEvery {
		return false
	}
	e.trial = now
	return true
}

// Admit reports whether a call may be forwarded to its service. Carried is the number of withheld calls that came with
// the call that this one belongs to, 0 at the entry. For a forwarded call it returns the number to send with it; for
// a refused one the number is kept for the next.
func (t *Table) Admit(now time.Time, c call.Call, carried uint32) (withheld uint32, ok bool) {
	s := t.shard(c.Service())
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[t.key(c)]
	if e == nil {
		return carried, true
	}
	l := int(e.value(now))
	if c.Depth() > 1 {
		l += l * marginPercent / 100
	}
	if c.Cohort() < l || now.Sub(e.forwarded) >= probeEvery {
		withheld = add(e.withheld, carried)
		e.withheld, e.forwarded = 0, now
		return withheld, true
	}
	e.withheld = add(e.withheld, add(carried, 1))
	return 0, false
}

// maxWithheld bounds a count that came from outside.
const maxWithheld = 1 << 20

func add(a, b uint32) uint32 { return min(min(a, maxWithheld)+min(b, maxWithheld), maxWithheld) }

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
