package measure

import (
	"time"

	"mustardmast"
	"mustardmast/core/admit"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// target is a fake target with the node on its host. It runs as many calls as it has true slots; more calls wait inside
// it in order of arrival. A call holds its slot while it waits for the calls that it makes itself.
type target struct {
	w       *world
	service service
	member  mustardmast.Member
	node    *node
	admit   *admit.Admitter // nil without control
	truth   int
	busy    int
	inside  int // calls taken, running or waiting
	fifo    []*exec
	slow    []span
	waiting map[uint64]*exec
}

// span is a time in which a target does its work slower by a factor, or not at all if the factor is 0.
type span struct {
	from, to time.Duration
	factor   float64
}

// exec is one call at one target.
type exec struct {
	t        *target
	leg      *leg
	call     call.Call
	ticket   uint64
	withheld uint32
	started  time.Duration
	below    time.Duration
	running  bool
	ended    bool
	reply    func(result)
}

// result is what a target's node answers.
type result struct {
	kind  fault.Kind
	deep  bool // the refusal came from further down, after work was done here
	level mustardmast.Level
	load  mustardmast.Load
}

func (t *target) arrive(e *exec) {
	switch t.w.variant {
	case noControl:
		if t.inside >= t.service.connections {
			t.answer(e, fault.PeerUnreachable, false)
			return
		}
		t.begin(e)
	case fixedLimit:
		if t.inside >= t.service.slots {
			t.answer(e, fault.QueueFull, false)
			return
		}
		t.begin(e)
	case fullControl:
		t.offer(e)
	}
}

func (t *target) offer(e *exec) {
	now, c := t.w.time(), e.call
	if !t.node.below.Admit(now, t.node.table, c) {
		t.answer(e, fault.Shed, false)
		return
	}
	v := t.admit.Offer(now, mustardmast.Work{Ticket: e.ticket, Call: c, Deadline: c.Deadline(), Long: c.Long(), Withheld: e.withheld})
	switch v.Action {
	case mustardmast.Run:
		t.begin(e)
	case mustardmast.Wait:
		t.waiting[e.ticket] = e
	default:
		t.answer(e, v.Kind, false)
	}
}

// below returns the level of the sub-calls that a call will make.
func (t *target) below(c call.Call) mustardmast.Level {
	return t.node.below.MinLevel(t.w.time(), t.node.table, c.Method(), c.Priority(), c.Backer())
}

func (t *target) verdicts(vs []mustardmast.Verdict) {
	for _, v := range vs {
		e := t.waiting[v.Ticket]
		delete(t.waiting, v.Ticket)
		if v.Action == mustardmast.Run {
			t.begin(e)
		} else {
			t.answer(e, v.Kind, false)
		}
	}
}

func (t *target) begin(e *exec) {
	t.inside++
	e.started = t.w.now
	if t.busy < t.truth {
		t.run(e)
		return
	}
	t.fifo = append(t.fifo, e)
}

func (t *target) run(e *exec) {
	t.busy++
	e.running = true
	t.w.executed++
	end, kind := t.workEnd(t.w.work(e)), fault.None
	if limit := e.leg.deadline; t.w.variant == fullControl && end > limit {
		end, kind = limit, fault.DeadlineExceeded
	}
	t.w.at(end, func() {
		if e.ended {
			return
		}
		if kind != fault.None {
			t.complete(e, kind, false)
			return
		}
		t.next(e)
	})
}

// workEnd returns when work that starts now is done.
func (t *target) workEnd(d time.Duration) time.Duration {
	at := t.w.now
	for _, s := range t.slow {
		if s.to <= at {
			continue
		}
		if at < s.from {
			if d <= s.from-at {
				return at + d
			}
			d -= s.from - at
			at = s.from
		}
		done := time.Duration(float64(s.to-at) * s.factor)
		if d <= done {
			return at + time.Duration(float64(d)/s.factor)
		}
		d -= done
		at = s.to
	}
	return at + d
}

// next makes the call to the next service of the path.
func (t *target) next(e *exec) {
	if len(e.leg.rest) == 0 {
		t.complete(e, fault.None, false)
		return
	}
	from := t.w.now
	l := &leg{w: t.w, from: t.node, req: e.leg.req, service: e.leg.rest[0], rest: e.leg.rest[1:], deadline: e.leg.deadline,
		depth: e.leg.depth + 1, carried: e.withheld, attempt: e.call.Attempt()}
	l.reply = func(r result) {
		if e.ended {
			return
		}
		e.below += t.w.now - from
		t.complete(e, r.kind, true)
	}
	t.node.below.RecordCall(e.call.Method(), l.call())
	l.send()
}

func (t *target) complete(e *exec, k fault.Kind, deep bool) {
	e.ended = true
	t.inside--
	t.busy--
	if k == fault.None {
		t.node.below.RecordSuccess(e.call.Method())
	}
	if t.admit != nil {
		done := fault.None // a target that answers with an error of its own has answered
		if !deep {
			done = k
		}
		defer func() {
			t.verdicts(t.admit.Done(t.w.time(), mustardmast.Completion{Ticket: e.ticket, Latency: t.w.now - e.started, SubCallTime: e.below, Kind: done}))
		}()
	}
	t.answer(e, k, deep)
	for len(t.fifo) > 0 && t.busy < t.truth {
		n := t.fifo[0]
		t.fifo = t.fifo[1:]
		if !n.ended {
			t.run(n)
		}
	}
}

func (t *target) answer(e *exec, k fault.Kind, deep bool) {
	e.ended = true
	r := result{kind: k, deep: deep, level: mustardmast.FullLevel}
	if t.admit != nil {
		now, c := t.w.time(), e.call
		r.level = min(t.admit.LevelFor(now, c.Priority(), c.Backer()), t.below(c))
		r.load = t.admit.Load(now)
	}
	e.reply(r)
}

// cancel ends a call that its sender gave up.
func (t *target) cancel(e *exec) {
	if e.ended {
		return
	}
	if _, ok := t.waiting[e.ticket]; ok {
		delete(t.waiting, e.ticket)
		t.admit.Cancel(t.w.time(), e.ticket)
		e.ended = true
		return
	}
	if e.running {
		t.complete(e, fault.Canceled, false)
		return
	}
	if e.started == 0 { // still on the way
		e.ended = true
		return
	}
	e.ended = true // waits inside the target
	t.inside--
	t.verdicts(t.admit.Done(t.w.time(), mustardmast.Completion{Ticket: e.ticket, Latency: t.w.now - e.started, Kind: fault.Canceled}))
}
