package dissemination

import (
	"bytes"
	"sync"

	"github.com/pkg/errors"
)

// Limits of a History. Beyond them the oldest edits are dropped, and a node that needs them gets the whole text.
const (
	maxEdits     = 64
	maxEditBytes = 64 << 10
)

// Edit turns the text of one generation into that of a later one by replacing one range of bytes. A change by an
// operator is usually local, so an edit is small, whatever the format of the text.
type Edit struct {
	Generation uint64 // of the resulting text
	ChangeID   string
	Offset     int
	Removed    int
	Inserted   []byte
}

// Diff returns the edit that turns from into to.
func Diff(from, to []byte) Edit {
	prefix := 0
	for prefix < len(from) && prefix < len(to) && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(from)-prefix && suffix < len(to)-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	return Edit{Offset: prefix, Removed: len(from) - prefix - suffix, Inserted: bytes.Clone(to[prefix : len(to)-suffix])}
}

// Apply returns text with the edit applied.
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

// History holds the current text and the edits that led to it. It is safe for concurrent use.
type History struct {
	mu         sync.RWMutex
	text       []byte
	generation uint64
	changeID   string
	oldest     version // version that the first edit applies to
	edits      []Edit
	editBytes  int // size of all inserted bytes
}

type version struct {
	generation uint64
	changeID   string
}

// NewHistory returns a history without a text.
func NewHistory() *History { return &History{} }

// Text returns the current text and its version. The caller must not modify the text.
func (h *History) Text() (generation uint64, changeID string, text []byte) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.generation, h.changeID, h.text
}

// Put replaces the current text by that of a later generation. The caller must not modify text afterwards.
func (h *History) Put(generation uint64, changeID string, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := Diff(h.text, text)
	e.Generation, e.ChangeID = generation, changeID
	h.append(e, text)
}

// Append appends edits from another node's history, which start at the current text, and the text that they lead to.
func (h *History) Append(edits []Edit, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range edits {
		h.append(e, text)
	}
}

func (h *History) append(e Edit, text []byte) {
	if h.generation == 0 {
		h.oldest = version{e.Generation, e.ChangeID}
	} else {
		h.edits = append(h.edits, e)
		h.editBytes += len(e.Inserted)
	}
	h.text, h.generation, h.changeID = text, e.Generation, e.ChangeID
	for len(h.edits) > maxEdits || h.editBytes > maxEditBytes {
		first := h.edits[0]
		h.oldest = version{first.Generation, first.ChangeID}
		h.editBytes -= len(first.Inserted)
		h.edits = append([]Edit(nil), h.edits[1:]...)
	}
}

// Since returns the edits that lead from a version to the current one, or false if that version is unknown. The caller
// must not modify the edits.
func (h *History) Since(generation uint64, changeID string) ([]Edit, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	v := version{generation, changeID}
	if generation == 0 {
		return nil, false
	}
	if v == h.oldest {
		return h.edits, true
	}
	for i, e := range h.edits {
		if v == (version{e.Generation, e.ChangeID}) {
			return h.edits[i+1:], true
		}
	}
	return nil, false
}
