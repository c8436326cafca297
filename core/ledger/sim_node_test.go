package ledger_test

import (
	"fmt"
	"slices"
	"time"

	"mustardmast/core/fault"
	"mustardmast/core/ledger"
)

// handler processes one send at the owner.
type handler struct {
	n       *node
	ledger  *ledger.Ledger
	r       *request
	ticket  ledger.Ticket
	attempt ledger.Attempt
	reply   func(o fault.Outcome, response string)
}

// handleSend processes a send that has reached the owner.
func (n *node) handleSend(r *request, attempt int, reply func(fault.Outcome, string)) {
	l := n.ledger
	if n.s.recordAtExecutor {
		l = ledger.New(n.issuer, n.s.limits())
	}
	q := ledger.Request{ID: r.id, Service: "s", Method: "m", Backer: "b", Attempt: attempt, Retries: 3}
	if n.s.acceptOldAttempts {
		q.Attempt = 1000 + len(n.s.executed) + n.s.count["begin"]
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
		n.s.handlers = append(n.s.handlers, h)
		h.queryExecutor()
	default:
		n.local(h.dispatch)
	}
}

// dispatch chooses an executor from a possibly stale view and sends an attempt to it.
func (h *handler) dispatch() {
	s := h.n.s
	if s.pick(12) == 0 {
		h.end(fault.NotExecuted, "") // rejected by the owner
		return
	}
	to := s.pick(len(s.nodes))
	executor := s.nodes[to].id
	if s.previous[to] != 0 && s.pick(4) == 0 {
		executor = s.previous[to]
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
	s.handlers = append(s.handlers, h)
	timeout := time.Duration(1+s.pick(20)) * time.Second
	h.n.local(func() {
		h.n.send(to, 0, true, func(n *node, copied bool) { n.execute(h, a, timeout, copied) })
	})
}

// execute processes an attempt that has reached a node, possibly as a duplicate or with a delay.
func (n *node) execute(h *handler, a ledger.Attempt, timeout time.Duration, duplicate bool) {
	s, deadline, here := n.s, n.now().Add(timeout), a
	if s.noIncarnationCheck {
		here.Executor = n.id
	}
	respond := func(o fault.Outcome, k fault.Kind, body string) {
		if duplicate && k == fault.WrongIncarnation {
			return // nobody reads the response to a duplicate that reached another process
		}
		if o == fault.NotExecuted {
			if s.executed[a] {
				s.failf("request %v attempt %d: executed, and reported as %v", a.ID, a.Nonce, k)
			}
			s.reportedNotExecuted[a] = true
		}
		n.send(h.n.addr, h.n.id, true, func(*node, bool) { h.receive(a, o, body) })
	}
	n.local(func() {
		if s.pick(8) == 0 {
			err := error(fault.New(fault.Shed, ""))
			if !s.noTombstone {
				err = n.register.Reject(n.now(), here, err)
			}
			respond(fault.From(err).Outcome(), fault.KindOf(err), "")
			return
		}
		n.local(func() {
			if err := n.register.Start(n.now(), here, deadline); err != nil {
				s.count["start: "+fault.KindOf(err).String()]++
				respond(fault.From(err).Outcome(), fault.KindOf(err), "")
				return
			}
			if s.pick(8) == 0 {
				n.register.TargetRejected(n.now(), here)
				respond(fault.NotExecuted, fault.TargetRefused, "")
				return
			}
			n.target(h.r, a, here, respond)
		})
	})
}

// target executes the request and counts the execution.
func (n *node) target(r *request, a, here ledger.Attempt, respond func(fault.Outcome, fault.Kind, string)) {
	s := n.s
	r.executions++
	s.count["executions"]++
	if s.reportedNotExecuted[a] {
		s.failf("request %v attempt %d: reported as not-executed, and executed", a.ID, a.Nonce)
	}
	if r.executions > 1 {
		s.failf("request %v: executed %d times", r.id, r.executions)
	}
	s.executed[a], n.executedHere[here] = true, true
	body := fmt.Sprintf("%v run %d", r.id, r.executions)
	run := s.history.Execute(r.id.String(), body)
	n.local(func() {
		run.End()
		n.register.Finish(n.now(), here)
		if s.pick(6) == 0 {
			respond(fault.Unknown, fault.AnswerCut, "")
			return
		}
		respond(fault.Executed, fault.None, body)
	})
}

// receive processes the executor's response at the owner.
func (h *handler) receive(a ledger.Attempt, o fault.Outcome, body string) {
	s := h.n.s
	if !slices.Contains(s.handlers, h) || h.attempt != a {
		return
	}
	switch {
	case o == fault.NotExecuted:
		h.ledger.RecordNotExecuted(h.n.now(), h.ticket, a, 3)
		h.retryOrEnd()
	case o == fault.Executed && body != "":
		h.ledger.RecordCompletion(h.n.now(), h.ticket, a, ledger.Response{Status: 200, Body: []byte(body)})
		h.end(fault.Executed, body)
	case o == fault.Executed:
		h.recordStatus(a, ledger.Executed)
	default:
		h.connectionLost()
	}
}

// connectionLost handles a connection to the executor that broke before the response was complete.
func (h *handler) connectionLost() {
	s := h.n.s
	switch {
	case s.retryAfterUnknown:
		h.ledger.RecordNotExecuted(h.n.now(), h.ticket, h.attempt, 3)
		h.retryOrEnd()
	case h.ledger.NeedsQuery(h.n.now(), h.ticket, h.attempt):
		h.queryExecutor()
	default:
		h.end(fault.Unknown, "")
	}
}

// queryExecutor queries the executor about the attempt, which withdraws the attempt if it has not started.
func (h *handler) queryExecutor() {
	a := h.attempt
	h.n.s.count["query"]++
	h.n.send(h.n.s.addr[a.Executor], 0, true, func(n *node, _ bool) {
		status := n.withdraw(a)
		n.send(h.n.addr, h.n.id, true, func(*node, bool) { h.recordStatus(a, status) })
	})
}

// withdraw returns the status of an attempt at this node, and fences it if it has not started.
func (n *node) withdraw(a ledger.Attempt) ledger.AttemptStatus {
	here := a
	if n.s.noIncarnationCheck {
		here.Executor = n.id
	}
	status := ledger.NotExecuted
	if !n.s.noTombstone {
		status = n.register.Withdraw(n.now(), here)
	} else if n.executedHere[here] {
		status = ledger.Executed
	}
	if n.s.falseNotExecutedWhenFull && status == ledger.Unreachable {
		status = ledger.NotExecuted
	}
	if status == ledger.NotExecuted {
		if n.s.executed[a] {
			n.s.failf("request %v attempt %d: executed, and withdrawn", a.ID, a.Nonce)
		}
		n.s.reportedNotExecuted[a] = true
	}
	return status
}

func (h *handler) recordStatus(a ledger.Attempt, status ledger.AttemptStatus) {
	s := h.n.s
	if !slices.Contains(s.handlers, h) || h.attempt != a {
		return
	}
	if err := h.ledger.RecordStatus(h.n.now(), h.ticket, a, status); err != nil {
		h.end(fault.From(err).Outcome(), "")
		return
	}
	h.retryOrEnd()
}

// retryOrEnd dispatches another attempt after one that was not executed, or reports not-executed to the caller.
func (h *handler) retryOrEnd() {
	s := h.n.s
	s.handlers = slices.DeleteFunc(s.handlers, func(o *handler) bool { return o == h })
	if s.pick(2) == 0 {
		h.end(fault.NotExecuted, "")
		return
	}
	h.n.local(h.dispatch)
}

// end releases the record and responds to the caller.
func (h *handler) end(o fault.Outcome, response string) {
	s := h.n.s
	s.handlers = slices.DeleteFunc(s.handlers, func(o *handler) bool { return o == h })
	h.ledger.Release(h.n.now(), h.ticket)
	h.reply(o, response)
}

// interrupt breaks the connection to the executor, or cancels the send. A stopped or paused process notices neither.
func (h *handler) interrupt() {
	s := h.n.s
	if s.nodes[h.n.addr] != h.n || h.n.paused {
		return
	}
	if s.pick(3) == 0 {
		h.end(fault.Unknown, "")
		return
	}
	h.connectionLost()
}
