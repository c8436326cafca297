package measure

import (
	"time"

	"mustardmast"
	"mustardmast/core/admit"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// target simulates a target and the receiving side of the node on its host. It runs as many calls as it has true slots;
// further calls wait in a FIFO queue of the target. A call holds its slot while it waits for its sub-calls.
type target struct {
	sim         *simulation
	service     service
	member      mustardmast.Member
	node        *node
	admit       *admit.Admitter // nil in the baselines
	trueSlots   int
	busySlots   int
	inFlight    int // accepted calls, running or in the queue
	queue       []*execution
	slowPeriods []slowPeriod
	waiting     map[uint64]*execution // calls in the admission queue, by ticket
}

// slowPeriod is a period in which a target works at the given fraction of its speed, or not at all if it is 0.
type slowPeriod struct {
	from, to time.Duration
	factor   float64
}

// execution is a call at a target.
type execution struct {
	t          *target
	clientCall *clientCall
	call       call.Call
	ticket     uint64
	withheld   uint32
	started    time.Duration
	subCalls   time.Duration
	running    bool
	ended      bool
	onResult   func(result)
}

// result is the response of a target's node.
type result struct {
	kind        fault.Kind
	fromSubCall bool // the error is that of a sub-call, after the target has done its own work
	level       mustardmast.Level
	load        mustardmast.Load
}

func (t *target) arrive(e *execution) {
	switch t.sim.variant {
	case noControl:
		if t.inFlight >= t.service.connections {
			t.respond(e, fault.PeerUnreachable, false)
			return
		}
		t.accept(e)
	case fixedLimit:
		if t.inFlight >= t.service.slots {
			t.respond(e, fault.QueueFull, false)
			return
		}
		t.accept(e)
	case fullControl:
		t.offer(e)
	}
}

func (t *target) offer(e *execution) {
	now, c := t.sim.time(), e.call
	if !t.node.subCalls.Admit(now, t.node.table, c) {
		t.respond(e, fault.Shed, false)
		return
	}
	v := t.admit.Offer(now, mustardmast.Work{Ticket: e.ticket, Call: c, Deadline: c.Deadline(), Long: c.Long(), Withheld: e.withheld})
	switch v.Action {
	case mustardmast.Run:
		t.accept(e)
	case mustardmast.Wait:
		t.waiting[e.ticket] = e
	default:
		t.respond(e, v.Kind, false)
	}
}

// subCalls returns the minimum admission level of the sub-calls that a call will make.
func (t *target) subCalls(c call.Call) mustardmast.Level {
	return t.node.subCalls.MinLevel(t.sim.time(), t.node.table, c.Method(), c.Priority(), c.Backer())
}

func (t *target) applyVerdicts(vs []mustardmast.Verdict) {
	for _, v := range vs {
		e := t.waiting[v.Ticket]
		delete(t.waiting, v.Ticket)
		if v.Action == mustardmast.Run {
			t.accept(e)
		} else {
			t.respond(e, v.Kind, false)
		}
	}
}

func (t *target) accept(e *execution) {
	t.inFlight++
	e.started = t.sim.now
	if t.busySlots < t.trueSlots {
		t.run(e)
		return
	}
	t.queue = append(t.queue, e)
}

func (t *target) run(e *execution) {
	t.busySlots++
	e.running = true
	t.sim.executed++
	end, kind := t.workEnd(t.sim.work(e)), fault.None
	if limit := e.clientCall.deadline; t.sim.variant == fullControl && end > limit {
		end, kind = limit, fault.DeadlineExceeded
	}
	t.sim.at(end, func() {
		if e.ended {
			return
		}
		if kind != fault.None {
			t.complete(e, kind, false)
			return
		}
		t.callNext(e)
	})
}

// workEnd returns when work of duration d that starts now is done.
func (t *target) workEnd(d time.Duration) time.Duration {
	at := t.sim.now
	for _, s := range t.slowPeriods {
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

// callNext sends the sub-call to the next service of the path, if there is one.
func (t *target) callNext(e *execution) {
	if len(e.clientCall.downstream) == 0 {
		t.complete(e, fault.None, false)
		return
	}
	from := t.sim.now
	cc := &clientCall{sim: t.sim, from: t.node, req: e.clientCall.req, service: e.clientCall.downstream[0], downstream: e.clientCall.downstream[1:], deadline: e.clientCall.deadline,
		depth: e.clientCall.depth + 1, upstreamWithheld: e.withheld, attempt: e.call.Attempt()}
	cc.onResult = func(r result) {
		if e.ended {
			return
		}
		e.subCalls += t.sim.now - from
		t.complete(e, r.kind, true)
	}
	t.node.subCalls.RecordCall(e.call.Method(), cc.call())
	cc.send()
}

func (t *target) complete(e *execution, k fault.Kind, fromSubCall bool) {
	e.ended = true
	t.inFlight--
	t.busySlots--
	if k == fault.None {
		t.node.subCalls.RecordSuccess(e.call.Method())
	}
	if t.admit != nil {
		done := fault.None // a target that responds with the error of its sub-call has itself completed the call
		if !fromSubCall {
			done = k
		}
		defer func() {
			t.applyVerdicts(t.admit.Done(t.sim.time(), mustardmast.Completion{Ticket: e.ticket, Latency: t.sim.now - e.started, SubCallTime: e.subCalls, Kind: done}))
		}()
	}
	t.respond(e, k, fromSubCall)
	for len(t.queue) > 0 && t.busySlots < t.trueSlots {
		n := t.queue[0]
		t.queue = t.queue[1:]
		if !n.ended {
			t.run(n)
		}
	}
}

func (t *target) respond(e *execution, k fault.Kind, fromSubCall bool) {
	e.ended = true
	r := result{kind: k, fromSubCall: fromSubCall, level: mustardmast.FullLevel}
	if t.admit != nil {
		now, c := t.sim.time(), e.call
		r.level = min(t.admit.LevelFor(now, c.Priority(), c.Backer()), t.subCalls(c))
		r.load = t.admit.Load(now)
	}
	e.onResult(r)
}

// cancel ends a call that was canceled by its sender.
func (t *target) cancel(e *execution) {
	if e.ended {
		return
	}
	if _, ok := t.waiting[e.ticket]; ok {
		delete(t.waiting, e.ticket)
		t.admit.Cancel(t.sim.time(), e.ticket)
		e.ended = true
		return
	}
	if e.running {
		t.complete(e, fault.Canceled, false)
		return
	}
	if e.started == 0 { // has not arrived yet
		e.ended = true
		return
	}
	e.ended = true // in the target's queue
	t.inFlight--
	t.applyVerdicts(t.admit.Done(t.sim.time(), mustardmast.Completion{Ticket: e.ticket, Latency: t.sim.now - e.started, Kind: fault.Canceled}))
}
