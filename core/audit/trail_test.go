package audit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/audit"
)

// Guards against entries that are lost or duplicated when the tail is split.
func TestSplitLosesNothing(t *testing.T) {
	var trail audit.Trail
	var all []uint64
	archives := map[string]audit.Trail{}
	for g := uint64(1); g <= 500; g++ {
		if trail.Full() {
			moved, remain := trail.Split()
			last, _ := moved.Last()
			name := fmt.Sprint("audit/", last.To)
			archives[name] = moved
			trail = remain(name)
		}
		trail = trail.Append(audit.Entry{ID: fmt.Sprint(g), From: g - 1, To: g})
		assert.Assert(t, len(trail.Entries()) <= audit.MaxTailEntries)
	}
	for at := trail; ; at = archives[at.Archive()] {
		for i := len(at.Entries()) - 1; i >= 0; i-- {
			all = append(all, at.Entries()[i].To)
		}
		if at.Archive() == "" {
			break
		}
	}
	assert.Equal(t, len(all), 500)
	for i, g := range all {
		assert.Equal(t, g, uint64(500-i))
	}
}

// Guards against an entry that exceeds the size limits of the stored object or breaks the line format of the history.
func TestValidate(t *testing.T) {
	valid := audit.Entry{Who: "ada", Why: "more slots"}
	assert.Equal(t, valid.Validate(), "")
	for _, invalid := range []audit.Entry{{Who: "ada"}, {Why: "x"}, {Who: "ada", Why: "a\nb"}, {Who: strings.Repeat("x", 65), Why: "x"},
		{Who: "ada", Why: strings.Repeat("x", 501)}, {Who: "\xff", Why: "x"}} {
		assert.Assert(t, invalid.Validate() != "", "%+v", invalid)
	}
}

func ExampleTrail() {
	var t audit.Trail
	t = t.Append(audit.Entry{ID: "c1", Who: "ada", Why: "first text", From: 0, To: 1, When: time.Unix(0, 0)})
	e, _ := t.EntryReplacing(0)
	fmt.Println(e)
	// Output: generation 0 -> 1 by ada at 1970-01-01T00:00:00Z: first text (change c1)
}
