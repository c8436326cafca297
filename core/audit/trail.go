// Package audit is the trail of configuration changes: who changed it, when, why, and from which generation to which.
//
// The newest entries are kept beside the configuration, so that a change and its entry are one write. When the tail is
// full, its oldest entries move to an archive. The part that moves is decided by the tail alone: two operators, or one
// that was interrupted and tries again, move the same entries, so an archive can be written twice without harm.
// Archives form a list from the newest to the oldest, because the platform cannot list objects.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of the trail. A tail of MaxTailEntries entries takes at most about 150 KB of the 1 MB of an object.
const (
	MaxTailEntries = 128 // entries beside the configuration
	ArchiveEntries = 64  // entries of one archive
	MaxWhoBytes    = 64  // bytes
	MaxWhyBytes    = 500 // bytes
)

// Entry is one change.
type Entry struct {
	ID   string // change id, chosen at random by the operator's command
	Who  string
	Why  string
	When time.Time
	From uint64 // generation that was replaced
	To   uint64
}

// String returns the entry in one line.
func (e Entry) String() string {
	return fmt.Sprintf("generation %d -> %d by %s at %s: %s (change %s)", e.From, e.To, e.Who,
		e.When.UTC().Format(time.RFC3339), e.Why, e.ID)
}

// Validate returns what is wrong with the parts that an operator gives, or "".
func (e Entry) Validate() string {
	switch {
	case !plain(e.Who, MaxWhoBytes):
		return fmt.Sprintf("who is %q; allowed: 1 to %d bytes of printable text", e.Who, MaxWhoBytes)
	case !plain(e.Why, MaxWhyBytes):
		return fmt.Sprintf("why is %q; allowed: 1 to %d bytes of printable text", e.Why, MaxWhyBytes)
	}
	return ""
}

func plain(s string, most int) bool {
	return strings.TrimSpace(s) != "" && len(s) <= most && utf8.ValidString(s) &&
		!strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) })
}

// Trail is the tail of entries, the oldest first, and the name of the newest archive. It is a value: methods that
// change it return another one.
type Trail struct {
	entries []Entry
	archive string
}

// New returns a trail. The archive is "" as long as there is none.
func New(entries []Entry, archive string) Trail {
	return Trail{entries: slices.Clone(entries), archive: archive}
}

// Entries returns the tail, the oldest first. The slice must not be changed.
func (t Trail) Entries() []Entry { return t.entries }

// Archive returns the name of the newest archive, or "".
func (t Trail) Archive() string { return t.archive }

// Append returns the trail with one more entry.
func (t Trail) Append(e Entry) Trail {
	return Trail{entries: append(slices.Clone(t.entries), e), archive: t.archive}
}

// Last returns the newest entry.
func (t Trail) Last() (Entry, bool) {
	if len(t.entries) == 0 {
		return Entry{}, false
	}
	return t.entries[len(t.entries)-1], true
}

// Find returns the entry of a change.
func (t Trail) Find(id string) (Entry, bool) {
	i := slices.IndexFunc(t.entries, func(e Entry) bool { return e.ID == id })
	if i < 0 {
		return Entry{}, false
	}
	return t.entries[i], true
}

// EntryReplacing returns the entry that replaced a generation, or the newest one if the tail does not have it.
func (t Trail) EntryReplacing(generation uint64) (Entry, bool) {
	for _, e := range t.entries {
		if e.From == generation {
			return e, true
		}
	}
	return t.Last()
}

// Full reports whether the oldest entries must move to an archive before another one is appended.
func (t Trail) Full() bool { return len(t.entries) >= MaxTailEntries }

// Split returns the trail that moves to an archive, with the name of the archive before it, and what remains once the
// archive is stored under name.
func (t Trail) Split() (moved Trail, remain func(name string) Trail) {
	n := min(ArchiveEntries, len(t.entries))
	return Trail{entries: t.entries[:n:n], archive: t.archive},
		func(name string) Trail { return New(t.entries[n:], name) }
}
