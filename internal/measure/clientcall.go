package measure

import (
	"strings"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// clientCall is a call from one node to one service, with its retries and at most one hedged attempt.
type clientCall struct {
	sim              *simulation
	from             *node
	req              *request
	service          string
	downstream       []string // remaining services of the path
	deadline         time.Duration
	depth            int
	upstreamWithheld uint32
	attempt          int // attempt number of the call that this one belongs to
	tried            []mustardmast.NodeID
	retries          int
	attempts         []*attempt
	finished         bool
	onResult         func(result)
}

type attempt struct {
	execution *execution
	member    mustardmast.Member
	sent      time.Duration
	ended     bool

	hedgeReserved bool // the picker granted a hedged attempt that has not been sent
}

const (
	hopTimeout = time.Second // of the variants that do not propagate deadlines
	hopRetries = 3           // of the variants without a retry budget per request
	minBackoff = 10 * time.Millisecond
)

func (cc *clientCall) call() call.Call {
	q := cc.req
	c := call.Spec{ID: q.id, Service: cc.service, Method: "to " + strings.Join(cc.downstream, "/"), Backer: q.backer, Priority: q.priority, Attempt: cc.attempt + cc.retries,
		Deadline: epoch.Add(cc.deadline), Depth: cc.depth, Idempotent: true, Long: q.long}
	if q.long {
		c.Method = "job"
	}
	return call.New(c)
}

func (cc *clientCall) send() {
	sim := cc.sim
	c := cc.call()
	withheld := cc.upstreamWithheld
	if sim.variant == fullControl {
		if sim.now >= cc.deadline {
			cc.finish(result{kind: fault.DeadlinePassed, level: mustardmast.FullLevel})
			return
		}
		var ok bool
		if withheld, ok = cc.from.table.Admit(sim.time(), c, cc.upstreamWithheld); !ok {
			cc.finish(result{kind: fault.Shed, level: mustardmast.FullLevel})
			return
		}
		cc.upstreamWithheld = 0
	}
	if !cc.sendAttempt(c, withheld) {
		cc.finish(result{kind: fault.NoTarget, level: mustardmast.FullLevel})
		return
	}
	if sim.variant == fullControl {
		cc.hedge(c)
	}
}

func (cc *clientCall) sendAttempt(c call.Call, withheld uint32) bool {
	sim := cc.sim
	m, ok := cc.from.picker.Pick(sim.time(), c, sim.members[cc.service], cc.tried)
	if !ok {
		return false
	}
	cc.tried = append(cc.tried, m.ID)
	t := sim.targets[m.ID]
	sim.ticket++
	e := &execution{t: t, clientCall: cc, call: c, ticket: sim.ticket, withheld: withheld}
	a := &attempt{execution: e, member: m, sent: sim.now}
	cc.attempts = append(cc.attempts, a)
	e.onResult = func(r result) { sim.after(hopLatency, func() { cc.handleResult(a, r) }) }
	sim.after(hopLatency, func() {
		if !e.ended {
			t.arrive(e)
		}
	})
	if sim.variant != fullControl {
		sim.after(hopTimeout, func() { cc.handleResult(a, result{kind: fault.DeadlineExceeded}) })
	} else if len(cc.attempts) == 1 {
		sim.at(cc.deadline, func() { cc.expire() })
	}
	return true
}

// expire ends the call at its deadline.
func (cc *clientCall) expire() {
	if !cc.finished {
		cc.finish(result{kind: fault.DeadlineExceeded, level: mustardmast.FullLevel})
	}
}

func (cc *clientCall) hedge(c call.Call) {
	d, ok := cc.from.picker.HedgeAfter(cc.sim.time(), c)
	if !ok {
		return
	}
	first := cc.attempts[0]
	first.hedgeReserved = true
	cc.sim.after(d, func() {
		if cc.finished || len(cc.attempts) != 1 || cc.attempts[0].ended || cc.sim.now >= cc.deadline {
			return
		}
		first.hedgeReserved = false
		s := c.Spec()
		s.Attempt++
		if cc.sendAttempt(call.New(s), 0) {
			cc.sim.hedges++
		}
	})
}

func (cc *clientCall) handleResult(a *attempt, r result) {
	if a.ended {
		return
	}
	a.ended = true
	sim := cc.sim
	cc.from.picker.Done(sim.time(), mustardmast.Result{Member: a.member.ID, Service: cc.service, Latency: sim.now - a.sent, Kind: r.kind,
		Load: r.load, HasLoad: r.load.Limit > 0, Long: cc.req.long, HedgeUnused: a.hedgeReserved})
	if sim.variant == fullControl {
		cc.from.table.Learn(sim.time(), a.execution.call, r.level)
	}
	if cc.finished {
		return
	}
	if r.kind != fault.None && cc.hasPendingAttempt() {
		return // another attempt may still succeed
	}
	if r.kind != fault.None && cc.mayRetry(r) {
		cc.retries++
		sim.retries++
		cc.attempts = nil
		sim.after(minBackoff+time.Duration(sim.jitter.Float64()*float64(minBackoff)), func() {
			if !cc.finished {
				cc.send()
			}
		})
		return
	}
	cc.finish(r)
}

func (cc *clientCall) hasPendingAttempt() bool {
	for _, a := range cc.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}

func (cc *clientCall) mayRetry(r result) bool {
	switch cc.sim.variant {
	case noControl:
		return cc.retries < hopRetries
	case fixedLimit:
		return cc.retries < hopRetries && cc.from.allowRetry(cc.service, cc.sim.now)
	default:
		c := cc.call()
		if r.kind == fault.Shed && c.Cohort() >= int(cc.from.table.Level(cc.sim.time(), c.Service(), c.Method(), c.Priority(), c.Backer())) {
			return false // the other targets would reject it too
		}
		if r.fromSubCall || cc.req.retriesLeft <= 0 || !cc.from.allowRetry(cc.service, cc.sim.now) {
			return false
		}
		cc.req.retriesLeft--
		return true
	}
}

func (cc *clientCall) finish(r result) {
	cc.finished = true
	if r.kind == fault.None {
		cc.from.recordSuccess(cc.service)
	}
	for _, a := range cc.attempts {
		if a.ended || cc.sim.variant != fullControl {
			continue
		}
		a.ended = true
		cc.from.picker.Done(cc.sim.time(), mustardmast.Result{Member: a.member.ID, Service: cc.service, Latency: cc.sim.now - a.sent,
			Kind: fault.Canceled, Long: cc.req.long, HedgeUnused: a.hedgeReserved})
		e := a.execution
		cc.sim.after(hopLatency, func() { e.t.cancel(e) })
	}
	cc.onResult(r)
}
