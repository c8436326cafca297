// Package store keeps the configuration in the platform's object API.
//
// The object "config" holds the text, its generation, the id of the change that wrote it and the audit tail. A change
// is a single conditional write of this object, so there is no change without an audit entry. Two things are written
// before the change: the text that it replaces, to one of a fixed number of slots "text/<n>", for rollbacks; and the
// oldest entries of a full audit tail, to an object "audit/<n>" whose name contains a hash of its content. Both writes
// are idempotent, so an interrupted change can be repeated from the start.
//
// If the response to a write is lost, the object is read back and searched for the change id. If the object is
// unchanged, the lost write may still arrive; the same conditional write is sent again, and at most one of the two
// takes effect.
package store

import (
	"context"
	"fmt"
	"time"

	"mustardmast"
	"mustardmast/core/audit"
	"mustardmast/core/fault"
	"mustardmast/io/platform"
)

// ObjectName is the name of the object that holds the configuration.
const ObjectName = "config"

// textSlots is the number of replaced texts that are kept for rollbacks. At 4,100 changes a day, 512 texts cover three
// hours. The objects take at most 512 MB.
const textSlots = 512

// DefaultAttempts is the maximum number of attempts to determine the outcome of a write.
const DefaultAttempts = 5

// State is the stored configuration. The zero value is the state before the first change.
type State struct {
	Version    uint64 // of the object
	Generation uint64
	ChangeID   string
	Text       string
	Trail      audit.Trail
}

// Settings are the dependencies and limits of a Store.
type Settings struct {
	Platform mustardmast.Platform
	Clock    mustardmast.Clock
	NewID    func() string // returns a unique change id
	Attempts int           // attempts to determine the outcome of a write; 0 means DefaultAttempts
	Pause    func(ctx context.Context, attempt int) error
}

// Store reads and changes the configuration in the platform. It has no state of its own, and its methods may be called
// concurrently if those of its Settings may.
type Store struct {
	s Settings
}

// New returns a store.
func New(s Settings) *Store {
	if s.Attempts <= 0 {
		s.Attempts = DefaultAttempts
	}
	if s.Pause == nil {
		s.Pause = pause
	}
	return &Store{s: s}
}

// pause waits 100 ms, 200 ms, 400 ms and so on, at most 2 s.
func pause(ctx context.Context, attempt int) error {
	t := time.NewTimer(min(100*time.Millisecond<<attempt, 2*time.Second))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read returns the stored configuration, the zero State when there is none yet.
func (s *Store) Read(ctx context.Context) (State, error) {
	o, err := s.s.Platform.Get(ctx, ObjectName)
	if fault.KindOf(err) == fault.NotFound {
		return State{}, nil
	}
	if err != nil {
		return State{}, err
	}
	return decode(o)
}

// Watch waits until the version of the object differs from after, and returns the configuration.
func (s *Store) Watch(ctx context.Context, after uint64) (State, error) {
	o, err := s.s.Platform.Watch(ctx, ObjectName, after)
	if err != nil {
		return State{}, err
	}
	return decode(o)
}

func decode(o mustardmast.Object) (State, error) {
	st, err := Decode(o.Value)
	st.Version = o.Version
	return st, err
}

// Text returns the text of a generation. The error has the kind not-found if the text is no longer kept.
func (s *Store) Text(ctx context.Context, generation uint64) (string, error) {
	st, err := s.Read(ctx)
	if err != nil {
		return "", err
	}
	return s.text(ctx, st, generation)
}

func (s *Store) text(ctx context.Context, st State, generation uint64) (string, error) {
	if generation == st.Generation && generation > 0 {
		return st.Text, nil
	}
	w, _, err := s.readTextSlot(ctx, generation)
	if err != nil {
		return "", err
	}
	if generation == 0 || w.Generation != generation {
		return "", fault.Newf(fault.NotFound, "the text of generation %d is not kept; texts are kept only for those of the last %d generations that were used",
			generation, textSlots)
	}
	return w.Text, nil
}

// History returns up to limit entries of the audit trail, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]audit.Entry, error) {
	st, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	var out []audit.Entry
	err = s.walk(ctx, st.Trail, func(e audit.Entry) bool {
		out = append(out, e)
		return len(out) < limit
	})
	return out, err
}

// walk calls f for the entries of the trail and its archives, the newest first, until f returns false.
func (s *Store) walk(ctx context.Context, t audit.Trail, f func(e audit.Entry) bool) error {
	for {
		for i := len(t.Entries()) - 1; i >= 0; i-- {
			if !f(t.Entries()[i]) {
				return nil
			}
		}
		if t.Archive() == "" {
			return nil
		}
		o, err := s.s.Platform.Get(ctx, t.Archive())
		if err != nil {
			return fault.Wrap(err, fault.KindOf(err), "audit archive")
		}
		if t, err = decodeArchive(o.Value); err != nil {
			return err
		}
	}
}

// encode returns the value of the object, or an error if it exceeds the platform's limit.
func encode(st State) ([]byte, error) {
	b := Encode(st)
	if len(b) > platform.MaxValueBytes {
		return nil, fault.Newf(fault.ConfigInvalid, "text and audit tail take %d bytes in stored form; allowed: %d; shorten the text",
			len(b), platform.MaxValueBytes)
	}
	return b, nil
}

func textSlotName(generation uint64) string { return fmt.Sprintf("text/%d", generation%textSlots) }
