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

// Request is a change of the configuration by an operator.
type Request struct {
	Expected        uint64 // generation that the change is based on
	Text            string
	Who             string
	Why             string
	FleetGeneration uint64 // highest generation known to be installed on a node; 0 if no node was asked
}

// Result is an accepted change.
type Result struct {
	Entry    audit.Entry
	Restored bool   // the platform had an older generation than the fleet, so it had been restored to an older state
	Before   string // text that the change replaced
	After    string
}

// ConflictError describes the concurrent change that was accepted instead. It is the cause of an error of kind
// conflict.
type ConflictError struct {
	Expected uint64
	Current  uint64 // generation in the platform
	Winner   audit.Entry
}

// Error implements error. The text names the change that was accepted first.
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

// Apply writes a text as the next generation. Its errors have the kinds config-invalid, bad-request, conflict,
// platform-unavailable (the change was not made) and write-unknown (the change may have been made; the detail has the
// change id).
func (s *Store) Apply(ctx context.Context, r Request) (Result, error) {
	st, err := s.Read(ctx)
	if err != nil {
		return Result{}, err
	}
	return s.apply(ctx, st, r)
}

// Rollback writes the text of an earlier generation as the next one. Its errors are those of Apply, and not-found if
// the text is no longer kept.
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
	entry := audit.Entry{ID: s.s.NewID(), Who: r.Who, Why: r.Why, When: s.s.Clock.Now().UTC(), From: st.Generation,
		To: max(st.Generation, r.FleetGeneration) + 1}
	if problem := entry.Validate(); problem != "" {
		return Result{}, fault.New(fault.BadRequest, problem)
	}
	if _, faults := configtext.Decode([]byte(r.Text)); len(faults) > 0 {
		return Result{}, faults.Err()
	}
	if st.Generation != r.Expected {
		return Result{}, conflict(st, r.Expected)
	}
	trail, err := s.archiveBeforeChange(ctx, st)
	if fault.KindOf(err) == fault.Conflict {
		return Result{}, s.conflictWithWinner(ctx, r.Expected, err)
	}
	if err != nil {
		return Result{}, err
	}
	value, err := encode(State{Generation: entry.To, ChangeID: entry.ID, Text: r.Text, Trail: trail.Append(entry)})
	if err != nil {
		return Result{}, err
	}
	result := Result{Entry: entry, Restored: r.FleetGeneration > st.Generation, Before: st.Text, After: r.Text}
	o := mustardmast.Object{Name: ObjectName, Version: st.Version, Value: value}
	_, err = s.s.Platform.Put(ctx, o)
	switch fault.KindOf(err) {
	case fault.None:
		return result, nil
	case fault.Conflict:
		return Result{}, s.conflictWithWinner(ctx, r.Expected, err)
	case fault.WriteUnknown:
		return result, s.resolveUnknownWrite(ctx, o, entry)
	default:
		return Result{}, err
	}
}

// archiveBeforeChange writes the text that the change replaces and the audit entries that no longer fit the tail, and
// returns the remaining trail.
func (s *Store) archiveBeforeChange(ctx context.Context, st State) (audit.Trail, error) {
	if err := s.keepText(ctx, st); err != nil {
		return st.Trail, err
	}
	return s.rollOver(ctx, st.Trail)
}

// conflictWithWinner returns a conflict error that names the change that was accepted first.
func (s *Store) conflictWithWinner(ctx context.Context, expected uint64, cause error) error {
	st, err := s.Read(ctx)
	if err != nil {
		return fault.Wrap(cause, fault.Conflict, "the change that came first could not be read")
	}
	return conflict(st, expected)
}

// resolveUnknownWrite determines whether a write whose response was lost took effect, and returns nil if it did. If the
// object is unchanged, it sends the write again.
func (s *Store) resolveUnknownWrite(ctx context.Context, o mustardmast.Object, entry audit.Entry) error {
	for attempt := range s.s.Attempts {
		if attempt > 0 && s.s.Pause(ctx, attempt-1) != nil {
			break
		}
		st, err := s.Read(ctx)
		if err != nil {
			continue
		}
		found, err := s.contains(ctx, st, entry)
		switch {
		case err != nil:
			continue
		case found:
			return nil
		case st.Version < o.Version:
			return fault.Newf(fault.WriteUnknown, "the platform was set back to an older state while change %s was written", entry.ID)
		case st.Version > o.Version:
			// The condition of the lost write can no longer be true.
			return conflict(st, entry.From)
		}
		if _, err = s.s.Platform.Put(ctx, o); err == nil {
			return nil
		}
	}
	return fault.Newf(fault.WriteUnknown, "change %s to generation %d may have taken effect; look for it with the command history before trying again",
		entry.ID, entry.To)
}

// contains reports whether a change is in the trail. It reads archives as far back as the change can be.
func (s *Store) contains(ctx context.Context, st State, change audit.Entry) (found bool, err error) {
	err = s.walk(ctx, st.Trail, func(entry audit.Entry) bool {
		found = entry.ID == change.ID
		return !found && entry.To >= change.To
	})
	return found, err
}

// rollOver moves the oldest entries of a full tail to an archive and returns the remaining trail.
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

// putOnce writes an object whose value is determined by its name, or by its name and version. A write with an unknown
// outcome is repeated; after a conflict, it succeeds if the stored value is the same.
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
			return fault.Wrap(err, fault.Conflict, "object "+name+" was written by another change at the same time; try again")
		case fault.WriteUnknown:
		default:
			return err
		}
	}
	return fault.Wrap(err, fault.PlatformUnavailable, "the change was not made, because object "+name+" could not be written before it")
}

// readTextSlot returns the content and the object version of the slot of a generation; zero values if the slot is
// empty. The content may be the text of another generation that has the same slot.
func (s *Store) readTextSlot(ctx context.Context, generation uint64) (wireText, uint64, error) {
	o, err := s.s.Platform.Get(ctx, textSlotName(generation))
	if fault.KindOf(err) == fault.NotFound {
		return wireText{}, 0, nil
	}
	if err != nil {
		return wireText{}, 0, err
	}
	var w wireText
	if err := json.Unmarshal(o.Value, &w); err != nil || w.Format != format {
		return wireText{}, 0, fault.Newf(fault.Internal, "object %s cannot be decoded: format %d, error %v", o.Name, w.Format, err)
	}
	return w, o.Version, nil
}

// keepText writes the text that is about to be replaced to its slot. A slot with a newer generation is not overwritten:
// it means that another change was accepted first and this one will conflict.
func (s *Store) keepText(ctx context.Context, st State) error {
	if st.Generation == 0 {
		return nil
	}
	w, version, err := s.readTextSlot(ctx, st.Generation)
	if err != nil || w.Generation >= st.Generation {
		return err
	}
	return s.putOnce(ctx, textSlotName(st.Generation), version, marshal(wireText{Format: format, Generation: st.Generation, Text: st.Text}))
}
