package enrollment_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/enrollment"
	"mustardmast/internal/soak"
)

// Guards against a step that is not repeated in a new era, and against steps that are repeated without need.
func TestStepsAreDueOnceInEachEra(t *testing.T) {
	var e enrollment.Enrollment
	for _, era := range []uint64{0, 1, 2, 5} { // 0: a store that states no era
		assert.Assert(t, e.EntryDue(era) && e.ListDue(era))
		e.Registered(era)
		assert.Assert(t, !e.EntryDue(era) && e.ListDue(era))
		e.Listed(era)
		assert.Assert(t, !e.EntryDue(era) && !e.ListDue(era))
	}
}

// Guards against a list that was read before the node's entry was written, and against one of another era.
func TestListBeforeEntryDoesNotCount(t *testing.T) {
	var e enrollment.Enrollment
	e.Listed(1)
	e.Registered(1)
	assert.Assert(t, e.ListDue(1))
	e.Listed(2) // the store was restored after the entry was written
	assert.Assert(t, e.EntryDue(2) && e.ListDue(2))
	e.Registered(2)
	assert.Assert(t, e.ListDue(2))
	e.Listed(2)
	assert.Assert(t, !e.ListDue(2))
}

// Guards against two nodes that have both finished in the latest era and do not know each other. Restores lose all entries,
// and the steps of the nodes are taken in any order.
func TestFinishedNodesHaveMet(t *testing.T) {
	soak.Check(t, func(t *rapid.T) {
		const nodes = 3
		era, entries := uint64(1), map[int]bool{}
		var states [nodes]enrollment.Enrollment
		var known [nodes][nodes]bool
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				era, entries = era+1, map[int]bool{}
			case 1: // a restart
				states[n], known[n] = enrollment.Enrollment{}, [nodes]bool{}
			case 2, 3:
				if states[n].EntryDue(era) {
					entries[n] = true
					states[n].Registered(era)
				}
			default:
				if states[n].ListDue(era) {
					for o := range entries {
						known[n][o] = true
					}
					states[n].Listed(era)
				}
			}
			for a := range nodes {
				for b := range a {
					if !states[a].ListDue(era) && !states[b].ListDue(era) && !known[a][b] && !known[b][a] {
						t.Fatalf("nodes %d and %d have finished in era %d and do not know each other", a, b, era)
					}
				}
			}
		}
	})
}
