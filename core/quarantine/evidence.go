package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
)

// State is the assessment of a fingerprint.
type State uint8

// States.
const (
	Clear State = iota
	Suspect
	Quarantined
)

// String returns the name shown to operators.
func (s State) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[min(s, Quarantined)]
}

const (
	// maxCrashes is the number of crashes kept per fingerprint, including those covered by a clear. A fingerprint
	// causes at most 4 crashes between two clears, so there is room for four clears within EvidenceTTL.
	maxCrashes = 16
	// sharedTargetBit is set in the id of a crash at which other requests were in flight. Ids are sorted, so crashes of
	// a suspect in isolation come first and are the last to be discarded.
	sharedTargetBit = 1 << 63
)

// Never is the age of an event that has not occurred.
const Never time.Duration = math.MaxInt64

// event is a single occurrence with an id that all nodes share. Each hop of a report makes the event appear more
// recent, so the earliest known time is the most accurate. Without the id, the time of an event that two nodes keep
// exchanging would move forward with each report.
type event struct {
	id uint64
	at time.Time
}

// crash is a crash of a target with the fingerprint in flight.
type crash event

// eventID returns the id of an event at a node.
func eventID(node mustardmast.NodeID, number uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(node))
	binary.LittleEndian.PutUint64(b[8:], number)
	return xxhash.Sum64(b[:])
}

// crashID returns the id of a crash, which is the same at all nodes that report it. Its bits 32 to 62 tell the node.
func crashID(node mustardmast.NodeID, number uint32, isolated bool) uint64 {
	id := uint64(nodeTag(node))<<32 | uint64(number)
	if isolated {
		return id
	}
	return id | sharedTargetBit
}

// nodeTag returns the 31 bits that stand for a node in the ids of its crashes.
func nodeTag(node mustardmast.NodeID) uint32 { return uint32(eventID(node, 0) >> 33) }

func (c crash) nodeTag() uint32 { return uint32(c.id &^ sharedTargetBit >> 32) }

func (c crash) isolated() bool { return c.id&sharedTargetBit == 0 }

// evidence is what is known about one fingerprint. Nodes that exchange their evidence converge: crashes form a set that
// only grows, and the latest completion and the latest clear win. The zero value is no evidence.
type evidence struct {
	completed event   // last completion
	cleared   event   // last clear by an operator; covers crashes up to its time
	crashes   []crash // sorted by id
}

// merge returns the union of two sets of evidence. It is commutative, associative and idempotent as long as at most
// maxCrashes crashes are known.
func (e evidence) merge(o evidence) evidence {
	m := evidence{completed: latest(e.completed, o.completed), cleared: latest(e.cleared, o.cleared)}
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
			c = crash{id: e.crashes[i].id, at: earliest(e.crashes[i].at, o.crashes[j].at)}
			i++
			j++
		}
		// Crashes before a clear are kept: a report that was delayed, for example in a paused process, makes the crash
		// appear later than the clear, and only the known time corrects that.
		m.crashes = append(m.crashes, c)
	}
	m.crashes = m.crashes[:min(len(m.crashes), maxCrashes)]
	return m
}

// withCrash returns the evidence with one more crash.
func (e evidence) withCrash(c crash) evidence {
	return e.merge(evidence{crashes: []crash{c}})
}

// state evaluates the crashes since oldest. A completion discounts those at which other requests were in flight, as the
// fingerprint may have been there by chance. It does not discount the crash of a target that executed nothing else.
func (e evidence) state(oldest time.Time) (State, int) {
	n, isolated := 0, false
	for _, c := range e.crashes {
		if !c.at.After(oldest) || !c.at.After(e.cleared.at) || !c.isolated() && !c.at.After(e.completed.at) {
			continue
		}
		n++
		isolated = isolated || c.isolated()
	}
	switch {
	case isolated:
		return Quarantined, n
	case n >= 2:
		return Suspect, n
	default:
		return Clear, n
	}
}

// crashedAt reports whether the target of a node has crashed since oldest.
func (e evidence) crashedAt(tag uint32, oldest time.Time) bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool {
		return c.nodeTag() == tag && c.at.After(oldest) && c.at.After(e.cleared.at)
	})
}

// completionDiscounts reports whether a completion at now would discount any crash.
func (e evidence) completionDiscounts(now time.Time) bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool {
		return !c.isolated() && c.at.After(e.completed.at) && !c.at.After(now)
	})
}

// lastChange returns the time of the latest event.
func (e evidence) lastChange() time.Time {
	t := latest(e.completed, e.cleared)
	for _, c := range e.crashes {
		t = latest(t, event(c))
	}
	return t.at
}

func (e evidence) equal(o evidence) bool {
	return sameEvent(e.completed, o.completed) && sameEvent(e.cleared, o.cleared) &&
		slices.EqualFunc(e.crashes, o.crashes, func(a, b crash) bool { return sameEvent(event(a), event(b)) })
}

func sameEvent(a, b event) bool { return a.id == b.id && a.at.Equal(b.at) }

// latest returns the later of two events, or one event with its earliest known time if the ids are equal.
func latest(a, b event) event {
	switch c := a.at.Compare(b.at); {
	case a.id == b.id:
		return event{id: a.id, at: earliest(a.at, b.at)}
	case c > 0 || c == 0 && a.id > b.id:
		return a
	default:
		return b
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
