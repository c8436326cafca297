// Package audit implements the audit trail of configuration changes: who made each change, when, why, and from which
// generation to which.
//
// The newest entries, the tail, are stored in the same object as the configuration, so that a change and its entry are
// written atomically. When the tail is full, its oldest entries move to an archive. Which entries move depends on the
// tail alone. Two operators, or one that retries after an interruption, therefore move the same entries, and writing an
// archive twice does no harm. Each archive names the one before it, because the platform cannot list objects.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of the trail. A tail of MaxTailEntries takes at most about 150 KB of the 1 MB that an object may have.
const (
	MaxTailEntries = 128 // entries stored with the configuration
	ArchiveEntries = 64  // entries per archive
	MaxWhoBytes    = 64
	MaxWhyBytes    = 500
)

// Entry records one change.
type Entry struct {
	ID   string // change ID, chosen at random by the operator's command
	Who  string
	Why  string
	When time.Time
	From uint64 // the generation that was replaced
	To   uint64
}

// String formats the entry as one line.
func (e Entry) String() string {
	return fmt.Sprintf("generation %d -> %d by %s at %s: %s (change %s)", e.From, e.To, e.Who,
		e.When.UTC().Format(time.RFC3339), e.Why, e.ID)
}

// Validate returns a description of what is wrong with the fields that an operator enters, or "" if they are valid.
func (e Entry) Validate() string {
	switch {
	case !isPrintable(e.Who, MaxWhoBytes):
		return fmt.Sprintf("who is %q; allowed: 1 to %d bytes of printable text", e.Who, MaxWhoBytes)
	case !isPrintable(e.Why, MaxWhyBytes):
		return fmt.Sprintf("why is %q; allowed: 1 to %d bytes of printable text", e.Why, MaxWhyBytes)
	}
	return ""
}

// isPrintable reports whether s is printable, not blank and no longer than maxBytes.
func isPrintable(s string, maxBytes int) bool {
	return strings.TrimSpace(s) != "" && len(s) <= maxBytes && utf8.ValidString(s) &&
		!strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) })
}

// Trail is the tail of entries and the name of the newest archive. It is immutable: methods that change it return a new
// Trail.
type Trail struct {
	entries []Entry // oldest first
	archive string
}

// New returns a Trail. The archive is "" if there is none.
func New(entries []Entry, archive string) Trail {
	return Trail{entries: slices.Clone(entries), archive: archive}
}

// Entries returns the tail, oldest first. The caller must not modify the slice.
func (t Trail) Entries() []Entry { return t.entries }

// Archive returns the name of the newest archive, or "" if there is none.
func (t Trail) Archive() string { return t.archive }

// Append returns the trail with an entry added. If the trail is Full, call Split first.
func (t Trail) Append(e Entry) Trail {
	return Trail{entries: append(slices.Clone(t.entries), e), archive: t.archive}
}

// Last returns the newest entry, or false if there is none.
func (t Trail) Last() (Entry, bool) {
	if len(t.entries) == 0 {
		return Entry{}, false
	}
	return t.entries[len(t.entries)-1], true
}

// Find returns the entry with the given change ID, or false if it is not in the tail.
func (t Trail) Find(id string) (Entry, bool) {
	i := slices.IndexFunc(t.entries, func(e Entry) bool { return e.ID == id })
	if i < 0 {
		return Entry{}, false
	}
	return t.entries[i], true
}

// EntryReplacing returns the entry that replaced a generation, or the newest one if that entry is not in the tail. It
// returns false if the tail is empty.
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

// Split returns the trail to store as a new archive, which refers to the previous one, and a function that returns the
// remaining trail for the name under which the new archive is stored.
func (t Trail) Split() (moved Trail, remain func(name string) Trail) {
	n := min(ArchiveEntries, len(t.entries))
	return Trail{entries: t.entries[:n:n], archive: t.archive},
		func(name string) Trail { return New(t.entries[n:], name) }
}
