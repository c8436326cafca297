package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"mustardmast"
	"mustardmast/core/audit"
	"mustardmast/core/fault"
	"mustardmast/io/configtext"
)

// Request is a change that an operator asks for.
type Request struct {
	Expected        uint64 // generation that the text was made from
	Text            string
	Who             string
	Why             string
	FleetGeneration uint64 // highest generation known to be in force on a node; 0 if none was asked
}

// Result is an accepted change.
type Result struct {
	Entry    audit.Entry
	Restored bool   // the platform was behind the fleet, so it had been set back to an older state
	Before   string // text that was replaced
	After    string
}

// ConflictError names the change that came first. It is the cause of an error of kind conflict.
type ConflictError struct {
	Expected uint64
	Current  uint64 // generation in the platform
	Winner   audit.Entry
}

// Error says which change won.
func (e *ConflictError) Error() string {
	switch {
	case e.Winner.To == 0:
		return fmt.Sprintf("the change was made from generation %d, but the platform holds none", e.Expected)
	case e.Current < e.Expected:
		return fmt.Sprintf("the change was made from generation %d, but the platform is only at %d; unless the number is mistyped, the platform was set back to an older state; its last change: %s",
			e.Expected, e.Current, e.Winner)
	}
	return fmt.Sprintf("the change was made from generation %d, but the platform is at %d; the change that came first: %s",
		e.Expected, e.Current, e.Winner)
}

func conflict(st State, expected uint64) error {
	winner, _ := st.Trail.EntryReplacing(expected)
	return fault.Wrap(&ConflictError{Expected: expected, Current: st.Generation, Winner: winner}, fault.Conflict, "")
}

// Apply accepts a text as the next generation. Its errors have the kinds config-invalid, bad-request, conflict,
// platform-unavailable (not accepted) and write-unknown (nobody can say yet; the detail has the change id).
func (s *Store) Apply(ctx context.Context, r Request) (Result, error) {
	st, err := s.Read(ctx)
	if err != nil {
		return Result{}, err
	}
	return s.apply(ctx, st, r)
}

// Rollback accepts the text of an earlier generation as the next one.
func (s *Store) Rollback(ctx context.Context, to uint64, r Request) (Result, error) {
	st, err := s.Read(ctx)
	if err != nil {
		return Result{}, err
	}
	if r.Text, err = s.text(ctx, st, to); err != nil {
		return Result{}, err
	}
	return s.apply(ctx, st, r)
}

func (s *Store) apply(ctx context.Context, st State, r Request) (Result, error) {
	e := audit.Entry{ID: s.s.NewID(), Who: r.Who, Why: r.Why, When: s.s.Clock.Now().UTC(), From: st.Generation,
		To: max(st.Generation, r.FleetGeneration) + 1}
	if problem := e.Validate(); problem != "" {
		return Result{}, fault.New(fault.BadRequest, problem)
	}
	if _, faults := configtext.Decode([]byte(r.Text)); len(faults) > 0 {
		return Result{}, faults.Err()
	}
	if st.Generation != r.Expected {
		return Result{}, conflict(st, r.Expected)
	}
	trail, err := s.preserve(ctx, st)
	if fault.KindOf(err) == fault.Conflict {
		return Result{}, s.lostRace(ctx, r.Expected, err)
	}
	if err != nil {
		return Result{}, err
	}
	value, err := encode(State{Generation: e.To, ChangeID: e.ID, Text: r.Text, Trail: trail.Append(e)})
	if err != nil {
		return Result{}, err
	}
	done := Result{Entry: e, Restored: r.FleetGeneration > st.Generation, Before: st.Text, After: r.Text}
	o := mustardmast.Object{Name: ObjectName, Version: st.Version, Value: value}
	_, err = s.s.Platform.Put(ctx, o)
	switch fault.KindOf(err) {
	case fault.None:
		return done, nil
	case fault.Conflict:
		return Result{}, s.lostRace(ctx, r.Expected, err)
	case fault.WriteUnknown:
		return done, s.settle(ctx, o, e)
	default:
		return Result{}, err
	}
}

// preserve writes what must outlive the change, and returns the trail that remains.
func (s *Store) preserve(ctx context.Context, st State) (audit.Trail, error) {
	if err := s.keepText(ctx, st); err != nil {
		return st.Trail, err
	}
	return s.rollOver(ctx, st.Trail)
}

// lostRace names the change that won.
func (s *Store) lostRace(ctx context.Context, expected uint64, cause error) error {
	st, err := s.Read(ctx)
	if err != nil {
		return fault.Wrap(cause, fault.Conflict, "the change that came first could not be read")
	}
	return conflict(st, expected)
}

// settle finds out whether a write took effect, and returns nil if it did.
func (s *Store) settle(ctx context.Context, o mustardmast.Object, e audit.Entry) error {
	for attempt := range s.s.Attempts {
		if attempt > 0 && s.s.Pause(ctx, attempt-1) != nil {
			break
		}
		st, err := s.Read(ctx)
		if err != nil {
			continue
		}
		found, err := s.has(ctx, st, e)
		switch {
		case err != nil:
			continue
		case found:
			return nil
		case st.Version < o.Version:
			return fault.Newf(fault.WriteUnknown, "the platform was set back to an older state while change %s was written", e.ID)
		case st.Version > o.Version:
			// The condition of the lost write can no longer hold.
			return conflict(st, e.From)
		}
		if _, err = s.s.Platform.Put(ctx, o); err == nil {
			return nil
		}
	}
	return fault.Newf(fault.WriteUnknown, "change %s to generation %d may have taken effect; look for it with the command history before another try",
		e.ID, e.To)
}

// has reports whether a change is in the trail, archives included as far back as the change can be.
func (s *Store) has(ctx context.Context, st State, e audit.Entry) (found bool, err error) {
	err = s.walk(ctx, st.Trail, func(x audit.Entry) bool {
		found = x.ID == e.ID
		return !found && x.To >= e.To
	})
	return found, err
}

// rollOver moves the oldest entries of a full tail to an archive and returns what remains.
func (s *Store) rollOver(ctx context.Context, t audit.Trail) (audit.Trail, error) {
	if !t.Full() {
		return t, nil
	}
	moved, remain := t.Split()
	value := encodeArchive(moved)
	last, _ := moved.Last()
	digest := sha256.Sum256(value)
	name := fmt.Sprintf("audit/%d-%x", last.To, digest[:8])
	if err := s.putOnce(ctx, name, 0, value); err != nil {
		return t, err
	}
	return remain(name), nil
}

// putOnce writes an object whose value is decided by its name, or by its name and version. A write that was lost or
// came second is looked up.
func (s *Store) putOnce(ctx context.Context, name string, version uint64, value []byte) error {
	var err error
	for attempt := range s.s.Attempts {
		if attempt > 0 && s.s.Pause(ctx, attempt-1) != nil {
			break
		}
		_, err = s.s.Platform.Put(ctx, mustardmast.Object{Name: name, Version: version, Value: value})
		switch fault.KindOf(err) {
		case fault.None:
			return nil
		case fault.Conflict:
			o, readErr := s.s.Platform.Get(ctx, name)
			if readErr == nil && bytes.Equal(o.Value, value) {
				return nil
			}
			return fault.Wrap(err, fault.Conflict, "object "+name+" was written by somebody else; try again")
		case fault.WriteUnknown:
		default:
			return err
		}
	}
	return fault.Wrap(err, fault.PlatformUnavailable, "the change was not made; object "+name+" comes before it")
}

func (s *Store) slot(ctx context.Context, generation uint64) (wireText, uint64, error) {
	o, err := s.s.Platform.Get(ctx, slotName(generation))
	if fault.KindOf(err) == fault.NotFound {
		return wireText{}, 0, nil
	}
	if err != nil {
		return wireText{}, 0, err
	}
	var w wireText
	if err := json.Unmarshal(o.Value, &w); err != nil || w.Format != format {
		return wireText{}, 0, fault.Newf(fault.Internal, "object %s has format %d: %v", o.Name, w.Format, err)
	}
	return w, o.Version, nil
}

// keepText writes the text that is about to be replaced to its slot. A slot with a newer generation is left alone: it
// means that the change will lose the race.
func (s *Store) keepText(ctx context.Context, st State) error {
	if st.Generation == 0 {
		return nil
	}
	w, version, err := s.slot(ctx, st.Generation)
	if err != nil || w.Generation >= st.Generation {
		return err
	}
	return s.putOnce(ctx, slotName(st.Generation), version, marshal(wireText{Format: format, Generation: st.Generation, Text: st.Text}))
}
