package store

import (
	"bytes"
	"encoding/json"
	"time"

	"mustardmast/core/audit"
	"mustardmast/core/fault"
)

// format is the version of the stored form. It is raised if a reader of the previous version would misread an object.
const format = 1

type wireObject struct {
	Format     int         `json:"format"`
	Generation uint64      `json:"generation"`
	ChangeID   string      `json:"change-id"`
	Archive    string      `json:"audit-archive,omitempty"`
	Entries    []wireEntry `json:"audit"`
	Text       string      `json:"text"`
}

type wireEntry struct {
	ID   string    `json:"change-id"`
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	From uint64    `json:"from-generation"`
	To   uint64    `json:"to-generation"`
	Why  string    `json:"why"`
}

type wireArchive struct {
	Format   int         `json:"format"`
	Previous string      `json:"previous,omitempty"`
	Entries  []wireEntry `json:"entries"`
}

type wireText struct {
	Format     int    `json:"format"`
	Generation uint64 `json:"generation"`
	Text       string `json:"text"`
}

func marshal(v any) []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false) // escaped < and > would take six bytes each
	_ = enc.Encode(v)        // cannot fail: strings, numbers and times
	return b.Bytes()
}

// Encode returns the stored form of a state.
func Encode(s State) []byte {
	return marshal(wireObject{Format: format, Generation: s.Generation, ChangeID: s.ChangeID, Archive: s.Trail.Archive(),
		Entries: toWire(s.Trail), Text: s.Text})
}

// Decode decodes the stored form of a state. It leaves Version zero, which is a property of the object.
func Decode(b []byte) (State, error) {
	var w wireObject
	if err := json.Unmarshal(b, &w); err != nil {
		return State{}, fault.Wrap(err, fault.Internal, "stored configuration")
	}
	if w.Format != format {
		return State{}, fault.Newf(fault.Internal, "stored configuration has format %d; this program reads %d", w.Format, format)
	}
	return State{Generation: w.Generation, ChangeID: w.ChangeID, Text: w.Text, Trail: fromWire(w.Entries, w.Archive)}, nil
}

func encodeArchive(t audit.Trail) []byte {
	return marshal(wireArchive{Format: format, Previous: t.Archive(), Entries: toWire(t)})
}

func decodeArchive(b []byte) (audit.Trail, error) {
	var w wireArchive
	if err := json.Unmarshal(b, &w); err != nil || w.Format != format {
		return audit.Trail{}, fault.Newf(fault.Internal, "audit archive cannot be decoded: format %d, error %v", w.Format, err)
	}
	return fromWire(w.Entries, w.Previous), nil
}

func toWire(t audit.Trail) []wireEntry {
	out := make([]wireEntry, 0, len(t.Entries()))
	for _, e := range t.Entries() {
		out = append(out, wireEntry{ID: e.ID, Who: e.Who, When: e.When.UTC(), From: e.From, To: e.To, Why: e.Why})
	}
	return out
}

func fromWire(entries []wireEntry, archive string) audit.Trail {
	out := make([]audit.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, audit.Entry{ID: e.ID, Who: e.Who, When: e.When, From: e.From, To: e.To, Why: e.Why})
	}
	return audit.New(out, archive)
}
