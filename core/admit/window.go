package admit

import (
	"time"

	"mustardmast/core/shed"
)

// window accumulates the load of the target since the last update of the levels.
type window struct {
	since           time.Time
	accumulatedTo   time.Time // end of the time accumulated so far
	usedSlotSeconds float64   // slot-seconds used by short calls
	limit           float64   // slot-seconds available to short calls
	started         int
	rejected        int
	queueEmptied    bool
	stalled         bool
}

func (w *window) observeQueue(queued int) {
	if queued == 0 {
		w.queueEmptied = true
	}
}

// accumulate adds the time since the last change to the slot-seconds. It must be called before each change.
func (a *Admitter) accumulate(now time.Time) {
	w := &a.window
	if w.accumulatedTo.IsZero() {
		w.accumulatedTo, w.since = now, now
		return
	}
	if d := now.Sub(w.accumulatedTo).Seconds(); d > 0 {
		// Long jobs keep their slots at any level, so the levels divide the remaining slots.
		w.usedSlotSeconds += d * float64(len(a.running)-a.long)
		w.limit += d * float64(max(a.limit.Value()-a.long, 1))
		w.accumulatedTo = now
	}
}

// advance ends the window if it is at least shed.Window long, and updates the levels.
func (a *Admitter) advance(now time.Time) {
	a.accumulate(now)
	a.window.observeQueue(a.queue.Len())
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
		InUse:             w.usedSlotSeconds / elapsed.Seconds(),
		QueueEmptied:      w.queueEmptied,
		QueueNeverEmptied: !w.queueEmptied,
	}
	if n := w.started + w.rejected; n > 0 {
		s.RejectedFraction = float64(w.rejected) / float64(n)
	}
	if w.stalled {
		// Keep the levels while the target is stalled: other targets of the service can run the calls that this one
		// rejects, but senders would apply a lower level to all of them.
		a.shed.Skip()
	} else {
		a.shed.Advance(s)
	}
	a.window = window{since: now, accumulatedTo: now}
}
