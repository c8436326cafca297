package admit

import (
	"time"

	"mustardmast/core/shed"
)

// window sums up what the target did since the levels were last set.
type window struct {
	since   time.Time
	at      time.Time // end of the last span accounted for
	busy    float64   // slot seconds in use by short calls
	limit   float64   // slot seconds available to them
	started int
	refused int
	empty   bool
	stalled bool
}

func (w *window) see(queued int) {
	if queued == 0 {
		w.empty = true
	}
}

// account adds the span since the last change to the slots in use.
func (a *Admitter) account(now time.Time) {
	w := &a.window
	if w.at.IsZero() {
		w.at, w.since = now, now
		return
	}
	if d := now.Sub(w.at).Seconds(); d > 0 {
		// Long jobs hold their slots whatever the levels are, so levels divide what they leave.
		w.busy += d * float64(len(a.running)-a.long)
		w.limit += d * float64(max(a.limit.Value()-a.long, 1))
		w.at = now
	}
}

// advance ends the window if it is long enough.
func (a *Admitter) advance(now time.Time) {
	a.account(now)
	a.window.see(a.queue.Len())
	if a.limit.Stalled() {
		a.window.stalled = true
	}
	w := a.window
	elapsed := now.Sub(w.since)
	if elapsed < shed.Window {
		return
	}
	s := shed.State{
		Elapsed:           elapsed,
		Limit:             w.limit / elapsed.Seconds(),
		InUse:             w.busy / elapsed.Seconds(),
		QueueEmptied:      w.empty,
		QueueNeverEmptied: !w.empty,
	}
	if n := w.started + w.refused; n > 0 {
		s.RejectedFraction = float64(w.refused) / float64(n)
	}
	if w.stalled {
		// The levels stay: other targets of the service can take what this one refuses, and senders would apply a level
		// to all of them.
		a.shed.Skip()
	} else {
		a.shed.Advance(s)
	}
	a.window = window{since: now, at: now}
}
