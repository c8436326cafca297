package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
)

// State is what the evidence says about a fingerprint.
type State uint8

// States.
const (
	Clear State = iota
	Suspect
	Quarantined
)

// String returns the state's name for operators.
func (s State) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[min(s, Quarantined)]
}

const (
	// maxCrashes is how many crashes are kept per fingerprint, also those that a clear covers. A fingerprint causes up
	// to 4 between two clears, so that four clears in EvidenceTTL leave room for all that counts.
	maxCrashes = 16
	// ranBeside marks the crashes with other requests in flight, in their id. Ids are kept in order, so those of a
	// suspect that ran alone come first and are the last to be dropped.
	ranBeside = 1 << 63
)

// Never is the age of something that has not happened.
const Never time.Duration = math.MaxInt64

// mark is something that happened once, known by its id to all who hear of it. The longer the way of a report, the
// younger it makes the mark look; the earliest time is the best one. Without the id, a time that two nodes send to and
// fro would move forward with each report.
type mark struct {
	id uint64
	at time.Time
}

// crash is one crash of a target with the fingerprint in flight.
type crash mark

// markID names what happened at a node.
func markID(where mustardmast.NodeID, number uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(where))
	binary.LittleEndian.PutUint64(b[8:], number)
	return xxhash.Sum64(b[:])
}

// crashID names a crash alike for all who report it.
func crashID(where mustardmast.NodeID, number uint32, alone bool) uint64 {
	id := markID(where, uint64(number))
	if alone {
		return id &^ ranBeside
	}
	return id | ranBeside
}

func (c crash) alone() bool { return c.id&ranBeside == 0 }

// evidence is what is known about one fingerprint. Its parts only grow, so two nodes that exchange theirs agree: the
// crashes are a set, and of two completions or clears the later one counts. The zero value is no evidence.
type evidence struct {
	passed  mark    // last completion
	cleared mark    // an operator's clear, which covers crashes up to its time
	crashes []crash // by id
}

// merge returns what both know together. It is commutative, associative and idempotent as long as no more than
// maxCrashes crashes are known.
func (e evidence) merge(o evidence) evidence {
	m := evidence{passed: later(e.passed, o.passed), cleared: later(e.cleared, o.cleared)}
	m.crashes = make([]crash, 0, len(e.crashes)+len(o.crashes))
	i, j := 0, 0
	for i < len(e.crashes) || j < len(o.crashes) {
		var c crash
		switch {
		case j == len(o.crashes) || i < len(e.crashes) && e.crashes[i].id < o.crashes[j].id:
			c = e.crashes[i]
			i++
		case i == len(e.crashes) || o.crashes[j].id < e.crashes[i].id:
			c = o.crashes[j]
			j++
		default:
			c = crash{id: e.crashes[i].id, at: earlier(e.crashes[i].at, o.crashes[j].at)}
			i++
			j++
		}
		// A crash before a clear is kept: if a report of it was held up, for example in a paused process, it looks
		// younger than the clear, and only its known time tells better.
		m.crashes = append(m.crashes, c)
	}
	m.crashes = m.crashes[:min(len(m.crashes), maxCrashes)]
	return m
}

// with returns the evidence with one more crash.
func (e evidence) with(c crash) evidence {
	return e.merge(evidence{crashes: []crash{c}})
}

// state counts the crashes since oldest. A completion voids those in which other requests were in flight: the
// fingerprint was there by chance. It does not void a crash of a target that ran nothing else.
func (e evidence) state(oldest time.Time) (State, int) {
	n, alone := 0, false
	for _, c := range e.crashes {
		if !c.at.After(oldest) || !c.at.After(e.cleared.at) || !c.alone() && !c.at.After(e.passed.at) {
			continue
		}
		n++
		alone = alone || c.alone()
	}
	switch {
	case alone:
		return Quarantined, n
	case n >= 2:
		return Suspect, n
	default:
		return Clear, n
	}
}

// clearedBy reports whether a completion at now voids anything.
func (e evidence) clearedBy(now time.Time) bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool {
		return !c.alone() && c.at.After(e.passed.at) && !c.at.After(now)
	})
}

// last returns when the evidence was last added to.
func (e evidence) last() time.Time {
	t := later(e.passed, e.cleared)
	for _, c := range e.crashes {
		t = later(t, mark(c))
	}
	return t.at
}

func (e evidence) equal(o evidence) bool {
	return same(e.passed, o.passed) && same(e.cleared, o.cleared) &&
		slices.EqualFunc(e.crashes, o.crashes, func(a, b crash) bool { return same(mark(a), mark(b)) })
}

func same(a, b mark) bool { return a.id == b.id && a.at.Equal(b.at) }

// later returns the later of two marks, and for one mark its best time.
func later(a, b mark) mark {
	switch c := a.at.Compare(b.at); {
	case a.id == b.id:
		return mark{id: a.id, at: earlier(a.at, b.at)}
	case c > 0 || c == 0 && a.id > b.id:
		return a
	default:
		return b
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
