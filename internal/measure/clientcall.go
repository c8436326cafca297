package measure

import (
	"strings"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// leg is one call from one node to one service, with its retries and at most one hedge.
type leg struct {
	w        *world
	from     *node
	req      *request
	service  string
	rest     []string // services below
	deadline time.Duration
	depth    int
	carried  uint32
	attempt  int // of the call that this one belongs to
	tried    []mustardmast.NodeID
	retries  int
	open     []*attempt
	done     bool
	reply    func(result)
}

type attempt struct {
	exec   *exec
	member mustardmast.Member
	sent   time.Duration
	over   bool

	reserved bool // the picker allowed a second send, and none was made
}

const (
	hopTimeout = time.Second // of the variants that do not pass deadlines on
	hopRetries = 3           // of the variants without a budget for the request
	backoff    = 10 * time.Millisecond
)

func (l *leg) call() call.Call {
	q := l.req
	c := call.Spec{ID: q.id, Service: l.service, Method: "to " + strings.Join(l.rest, "/"), Backer: q.backer, Priority: q.priority, Attempt: l.attempt + l.retries,
		Deadline: epoch.Add(l.deadline), Depth: l.depth, Idempotent: true, Long: q.long}
	if q.long {
		c.Method = "job"
	}
	return call.New(c)
}

func (l *leg) send() {
	w := l.w
	c := l.call()
	withheld := l.carried
	if w.variant == fullControl {
		if w.now >= l.deadline {
			l.finish(result{kind: fault.DeadlinePassed, level: mustardmast.FullLevel})
			return
		}
		var ok bool
		if withheld, ok = l.from.table.Admit(w.time(), c, l.carried); !ok {
			l.finish(result{kind: fault.Shed, level: mustardmast.FullLevel})
			return
		}
		l.carried = 0
	}
	if !l.try(c, withheld) {
		l.finish(result{kind: fault.NoTarget, level: mustardmast.FullLevel})
		return
	}
	if w.variant == fullControl {
		l.hedge(c)
	}
}

func (l *leg) try(c call.Call, withheld uint32) bool {
	w := l.w
	m, ok := l.from.picker.Pick(w.time(), c, w.members[l.service], l.tried)
	if !ok {
		return false
	}
	l.tried = append(l.tried, m.ID)
	t := w.targets[m.ID]
	w.ticket++
	e := &exec{t: t, leg: l, call: c, ticket: w.ticket, withheld: withheld}
	a := &attempt{exec: e, member: m, sent: w.now}
	l.open = append(l.open, a)
	e.reply = func(r result) { w.after(hop, func() { l.answered(a, r) }) }
	w.after(hop, func() {
		if !e.ended {
			t.arrive(e)
		}
	})
	if w.variant != fullControl {
		w.after(hopTimeout, func() { l.answered(a, result{kind: fault.DeadlineExceeded}) })
	} else if len(l.open) == 1 {
		w.at(l.deadline, func() { l.expire() })
	}
	return true
}

// expire gives up at the deadline.
func (l *leg) expire() {
	if !l.done {
		l.finish(result{kind: fault.DeadlineExceeded, level: mustardmast.FullLevel})
	}
}

func (l *leg) hedge(c call.Call) {
	d, ok := l.from.picker.HedgeAfter(l.w.time(), c)
	if !ok {
		return
	}
	first := l.open[0]
	first.reserved = true
	l.w.after(d, func() {
		if l.done || len(l.open) != 1 || l.open[0].over || l.w.now >= l.deadline {
			return
		}
		first.reserved = false
		s := c.Spec()
		s.Attempt++
		if l.try(call.New(s), 0) {
			l.w.hedges++
		}
	})
}

func (l *leg) answered(a *attempt, r result) {
	if a.over {
		return
	}
	a.over = true
	w := l.w
	l.from.picker.Done(w.time(), mustardmast.Result{Member: a.member.ID, Service: l.service, Latency: w.now - a.sent, Kind: r.kind,
		Load: r.load, HasLoad: r.load.Limit > 0, Long: l.req.long, HedgeUnused: a.reserved})
	if w.variant == fullControl {
		l.from.table.Learn(w.time(), a.exec.call, r.level)
	}
	if l.done {
		return
	}
	if r.kind != fault.None && l.waits() {
		return // the other send may still succeed
	}
	if r.kind != fault.None && l.mayRetry(r) {
		l.retries++
		w.retries++
		l.open = nil
		w.after(backoff+time.Duration(w.jitter.Float64()*float64(backoff)), func() {
			if !l.done {
				l.send()
			}
		})
		return
	}
	l.finish(r)
}

func (l *leg) waits() bool {
	for _, a := range l.open {
		if !a.over {
			return true
		}
	}
	return false
}

func (l *leg) mayRetry(r result) bool {
	switch l.w.variant {
	case noControl:
		return l.retries < hopRetries
	case fixedLimit:
		return l.retries < hopRetries && l.from.retry(l.service, l.w.now)
	default:
		c := l.call()
		if r.kind == fault.Shed && c.Cohort() >= int(l.from.table.Level(l.w.time(), c.Service(), c.Method(), c.Priority(), c.Backer())) {
			return false // the other targets would shed it too
		}
		if r.deep || l.req.left <= 0 || !l.from.retry(l.service, l.w.now) {
			return false
		}
		l.req.left--
		return true
	}
}

func (l *leg) finish(r result) {
	l.done = true
	if r.kind == fault.None {
		l.from.succeeded(l.service)
	}
	for _, a := range l.open {
		if a.over || l.w.variant != fullControl {
			continue
		}
		a.over = true
		l.from.picker.Done(l.w.time(), mustardmast.Result{Member: a.member.ID, Service: l.service, Latency: l.w.now - a.sent,
			Kind: fault.Canceled, Long: l.req.long, HedgeUnused: a.reserved})
		e := a.exec
		l.w.after(hop, func() { e.t.cancel(e) })
	}
	l.reply(r)
}
