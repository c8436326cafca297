package ledger_test

import (
	"fmt"
	"slices"
	"time"

	"mustardmast/core/fault"
	"mustardmast/core/ledger"
)

// handler is one send that the owner works on.
type handler struct {
	n       *node
	ledger  *ledger.Ledger
	r       *request
	ticket  ledger.Ticket
	attempt ledger.Attempt
	reply   func(o fault.Outcome, answer string)
}

// own is a send that has reached the owner.
func (n *node) own(r *request, attempt int, reply func(fault.Outcome, string)) {
	l := n.ledger
	if n.s.recordAtExecutor {
		l = ledger.New(n.issuer, n.s.limits())
	}
	q := ledger.Request{ID: r.id, Service: "s", Method: "m", Backer: "b", Attempt: attempt, Retries: 3}
	if n.s.acceptOldAttempts {
		q.Attempt = 1000 + len(n.s.ran) + n.s.count["begin"]
	}
	n.s.count["begin"]++
	d, err := l.Begin(n.now(), q)
	h := &handler{n: n, ledger: l, r: r, ticket: d.Ticket, attempt: d.Attempt, reply: reply}
	switch {
	case err != nil:
		n.s.count[fault.KindOf(err).String()]++
		reply(fault.From(err).Outcome(), "")
	case d.Action == ledger.Replay:
		n.s.count["replay"]++
		reply(fault.Executed, string(d.Response.Body))
	case d.Action == ledger.QueryExecutor:
		n.s.open = append(n.s.open, h)
		h.ask()
	default:
		n.local(h.choose)
	}
}

// choose picks an executor, by a view that may be out of date, and dispatches.
func (h *handler) choose() {
	s := h.n.s
	if s.pick(12) == 0 {
		h.end(fault.NotExecuted, "") // shed by the owner
		return
	}
	to := s.pick(len(s.nodes))
	executor := s.nodes[to].id
	if s.former[to] != 0 && s.pick(4) == 0 {
		executor = s.former[to]
	}
	a, _, err := h.ledger.RecordDispatch(h.n.now(), h.ticket, executor)
	if err != nil {
		s.count[fault.KindOf(err).String()]++
		h.end(fault.From(err).Outcome(), "")
		return
	}
	if h.r.dispatches++; h.r.dispatches > 4 {
		s.failf("request %v: %d attempts with 3 retries", h.r.id, h.r.dispatches)
	}
	h.attempt = a
	s.open = append(s.open, h)
	rest := time.Duration(1+s.pick(20)) * time.Second
	h.n.local(func() {
		h.n.send(to, 0, true, func(n *node, copied bool) { n.execute(h, a, rest, copied) })
	})
}

// execute is an attempt that has reached a node, perhaps as a copy, perhaps late.
func (n *node) execute(h *handler, a ledger.Attempt, rest time.Duration, copied bool) {
	s, deadline, here := n.s, n.now().Add(rest), a
	if s.noIncarnationCheck {
		here.Executor = n.id
	}
	answer := func(o fault.Outcome, k fault.Kind, body string) {
		if copied && k == fault.WrongIncarnation {
			return // nobody reads the stream of a copy at another process
		}
		if o == fault.NotExecuted {
			if s.ran[a] {
				s.failf("request %v attempt %d: ran, and answered %v", a.ID, a.Nonce, k)
			}
			s.said[a] = true
		}
		n.send(h.n.addr, h.n.id, true, func(*node, bool) { h.answered(a, o, body) })
	}
	n.local(func() {
		if s.pick(8) == 0 {
			err := error(fault.New(fault.Shed, ""))
			if !s.noTombstone {
				err = n.register.Reject(n.now(), here, err)
			}
			answer(fault.From(err).Outcome(), fault.KindOf(err), "")
			return
		}
		n.local(func() {
			if err := n.register.Start(n.now(), here, deadline); err != nil {
				s.count["start: "+fault.KindOf(err).String()]++
				answer(fault.From(err).Outcome(), fault.KindOf(err), "")
				return
			}
			if s.pick(8) == 0 {
				n.register.TargetRejected(n.now(), here)
				answer(fault.NotExecuted, fault.TargetRefused, "")
				return
			}
			n.target(h.r, a, here, answer)
		})
	})
}

// target runs the request and counts it.
func (n *node) target(r *request, a, here ledger.Attempt, answer func(fault.Outcome, fault.Kind, string)) {
	s := n.s
	r.executions++
	s.count["executions"]++
	if s.said[a] {
		s.failf("request %v attempt %d: answered not-executed, and ran", a.ID, a.Nonce)
	}
	if r.executions > 1 {
		s.failf("request %v: executed %d times", r.id, r.executions)
	}
	s.ran[a], n.ranHere[here] = true, true
	body := fmt.Sprintf("%v run %d", r.id, r.executions)
	run := s.history.Execute(r.id.String(), body)
	n.local(func() {
		run.End()
		n.register.Finish(n.now(), here)
		if s.pick(6) == 0 {
			answer(fault.Unknown, fault.AnswerCut, "")
			return
		}
		answer(fault.Executed, fault.None, body)
	})
}

// answered is the executor's answer, which has reached the owner.
func (h *handler) answered(a ledger.Attempt, o fault.Outcome, body string) {
	s := h.n.s
	if !slices.Contains(s.open, h) || h.attempt != a {
		return
	}
	switch {
	case o == fault.NotExecuted:
		h.ledger.RecordNotExecuted(h.n.now(), h.ticket, a, 3)
		h.again()
	case o == fault.Executed && body != "":
		h.ledger.RecordCompletion(h.n.now(), h.ticket, a, ledger.Response{Status: 200, Body: []byte(body)})
		h.end(fault.Executed, body)
	case o == fault.Executed:
		h.settled(a, ledger.Executed)
	default:
		h.lost()
	}
}

// lost is a broken connection.
func (h *handler) lost() {
	s := h.n.s
	switch {
	case s.retryAfterUnknown:
		h.ledger.RecordNotExecuted(h.n.now(), h.ticket, h.attempt, 3)
		h.again()
	case h.ledger.NeedsQuery(h.n.now(), h.ticket, h.attempt):
		h.ask()
	default:
		h.end(fault.Unknown, "")
	}
}

// ask withdraws the attempt at its executor.
func (h *handler) ask() {
	a := h.attempt
	h.n.s.count["ask"]++
	h.n.send(h.n.s.addr[a.Executor], 0, true, func(n *node, _ bool) {
		v := n.withdraw(a)
		n.send(h.n.addr, h.n.id, true, func(*node, bool) { h.settled(a, v) })
	})
}

func (n *node) withdraw(a ledger.Attempt) ledger.AttemptStatus {
	here := a
	if n.s.noIncarnationCheck {
		here.Executor = n.id
	}
	v := ledger.NotExecuted
	if !n.s.noTombstone {
		v = n.register.Withdraw(n.now(), here)
	} else if n.ranHere[here] {
		v = ledger.Executed
	}
	if n.s.untrueWhenFull && v == ledger.Unreachable {
		v = ledger.NotExecuted
	}
	if v == ledger.NotExecuted {
		if n.s.ran[a] {
			n.s.failf("request %v attempt %d: ran, and was withdrawn", a.ID, a.Nonce)
		}
		n.s.said[a] = true
	}
	return v
}

func (h *handler) settled(a ledger.Attempt, v ledger.AttemptStatus) {
	s := h.n.s
	if !slices.Contains(s.open, h) || h.attempt != a {
		return
	}
	if err := h.ledger.RecordStatus(h.n.now(), h.ticket, a, v); err != nil {
		h.end(fault.From(err).Outcome(), "")
		return
	}
	h.again()
}

// again retries or gives up an attempt that was not executed.
func (h *handler) again() {
	s := h.n.s
	s.open = slices.DeleteFunc(s.open, func(o *handler) bool { return o == h })
	if s.pick(2) == 0 {
		h.end(fault.NotExecuted, "")
		return
	}
	h.n.local(h.choose)
}

// end releases the record and answers the caller.
func (h *handler) end(o fault.Outcome, answer string) {
	s := h.n.s
	s.open = slices.DeleteFunc(s.open, func(o *handler) bool { return o == h })
	h.ledger.Release(h.n.now(), h.ticket)
	h.reply(o, answer)
}

// disturb breaks the connection of a handler, or lets its caller go away. A dead or paused process notices nothing.
func (h *handler) disturb() {
	s := h.n.s
	if s.nodes[h.n.addr] != h.n || h.n.paused {
		return
	}
	if s.pick(3) == 0 {
		h.end(fault.Unknown, "")
		return
	}
	h.lost()
}
