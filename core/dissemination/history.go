package dissemination

import (
	"bytes"
	"sync"

	"github.com/pkg/errors"
)

// Bounds of a History. Beyond them the oldest edits are forgotten, and whoever needs them gets the whole text.
const (
	maxEdits     = 64
	maxEditBytes = 64 << 10
)

// Edit turns the text of one generation into that of a later one by replacing one range of bytes. An operator's change
// is usually local, so an edit is small, whatever the format of the text.
type Edit struct {
	Generation uint64 // of the result
	ChangeID   string
	Offset     int
	Removed    int
	Inserted   []byte
}

// Diff returns the edit from one text to another.
func Diff(from, to []byte) Edit {
	n := 0
	for n < len(from) && n < len(to) && from[n] == to[n] {
		n++
	}
	tail := 0
	for tail < len(from)-n && tail < len(to)-n && from[len(from)-1-tail] == to[len(to)-1-tail] {
		tail++
	}
	return Edit{Offset: n, Removed: len(from) - n - tail, Inserted: bytes.Clone(to[n : len(to)-tail])}
}

// Apply returns the text after the edit.
func (e Edit) Apply(text []byte) ([]byte, error) {
	if e.Offset < 0 || e.Removed < 0 || e.Offset > len(text) || e.Removed > len(text)-e.Offset {
		return nil, errors.Errorf("edit of bytes %d to %d does not fit a text of %d bytes",
			e.Offset, e.Offset+e.Removed, len(text))
	}
	out := make([]byte, 0, len(text)-e.Removed+len(e.Inserted))
	out = append(out, text[:e.Offset]...)
	out = append(out, e.Inserted...)
	return append(out, text[e.Offset+e.Removed:]...), nil
}

// History holds the text in force and the edits that led to it. It is safe for concurrent use.
type History struct {
	mu         sync.RWMutex
	text       []byte
	generation uint64
	changeID   string
	base       version // what the first edit applies to
	edits      []Edit
	size       int
}

type version struct {
	generation uint64
	changeID   string
}

// NewHistory returns a history without a text.
func NewHistory() *History { return &History{} }

// Text returns the text in force.
func (h *History) Text() (generation uint64, changeID string, text []byte) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.generation, h.changeID, h.text
}

// Put replaces the text by a later one.
func (h *History) Put(generation uint64, changeID string, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := Diff(h.text, text)
	e.Generation, e.ChangeID = generation, changeID
	h.append(e, text)
}

// Append applies edits that come from another node's history and start at the text in force.
func (h *History) Append(edits []Edit, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range edits {
		h.append(e, text)
	}
}

func (h *History) append(e Edit, text []byte) {
	if h.generation == 0 {
		h.base = version{e.Generation, e.ChangeID}
	} else {
		h.edits = append(h.edits, e)
		h.size += len(e.Inserted)
	}
	h.text, h.generation, h.changeID = text, e.Generation, e.ChangeID
	for len(h.edits) > maxEdits || h.size > maxEditBytes {
		first := h.edits[0]
		h.base = version{first.Generation, first.ChangeID}
		h.size -= len(first.Inserted)
		h.edits = append([]Edit(nil), h.edits[1:]...)
	}
}

// Since returns the edits that lead from a version to the one in force, and false if that version is not known.
func (h *History) Since(generation uint64, changeID string) ([]Edit, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	v := version{generation, changeID}
	if generation == 0 {
		return nil, false
	}
	if v == h.base {
		return h.edits, true
	}
	for i, e := range h.edits {
		if v == (version{e.Generation, e.ChangeID}) {
			return h.edits[i+1:], true
		}
	}
	return nil, false
}
