package history

import (
	"fmt"
	"sort"

	"github.com/anishathalye/porcupine"

	"mustardmast/core/fault"
)

// Requests records the sends and executions of non-idempotent requests.
//
// The model of one request: it is executed at most once, and only while a send is open. A send is open from its
// invocation until the outcome of a send with the same or a higher attempt number is reported as not executed. The
// outcome is reported as not executed only if no execution has taken place, and as executed only if one has, with the
// response of this execution.
type Requests struct {
	r recorder
}

// Send is an attempt of a caller to send a request.
type Send struct {
	q       *Requests
	index   int
	id      string
	attempt int
}

// Execution is an execution of a request at a target.
type Execution struct {
	q     *Requests
	index int
}

type (
	sendOp    struct{ id attemptID }
	outcomeOp struct{ id attemptID }
	executeOp struct {
		id       string
		response string
	}
	attemptID struct {
		id      string
		attempt int
	}
	callerOutcome struct {
		outcome  fault.Outcome
		response string
	}
)

// Send records that a caller sends a request. The attempt number increases with each send of the same id.
func (q *Requests) Send(id string, attempt int) Send {
	k := attemptID{id: id, attempt: attempt}
	q.r.instant(0, sendOp{k})
	return Send{q: q, index: q.r.invoke(0, outcomeOp{k}), id: id, attempt: attempt}
}

// RecordOutcome records the outcome that the caller received. The response is empty if the caller did not receive that
// of the target. A send without a recorded outcome has an unknown outcome.
func (s Send) RecordOutcome(o fault.Outcome, response string) {
	s.q.r.returned(s.index, callerOutcome{o, response})
}

// Execute records that a target starts to execute a request, and the response that it will send.
func (q *Requests) Execute(id, response string) Execution {
	return Execution{q: q, index: q.r.invoke(0, executeOp{id, response})}
}

// End records that the execution has finished. Without End, the execution may take effect at any time after its start.
func (e Execution) End() { e.q.r.returned(e.index, nil) }

// Check returns an error for the first request, in the order of ids, whose history the model does not allow.
func (q *Requests) Check() error {
	byID := map[string][]porcupine.Operation{}
	for _, o := range q.r.history() {
		if _, send := o.Input.(outcomeOp); send && o.Output == nil {
			continue // without an outcome it allows every order; leaving it out shortens the search
		}
		id := idOf(o.Input)
		byID[id] = append(byID[id], o)
	}
	ids := make([]string, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if err := check(requestModel, "request "+id, byID[id]); err != nil {
			return err
		}
	}
	return nil
}

func idOf(input any) string {
	switch v := input.(type) {
	case sendOp:
		return v.id.id
	case outcomeOp:
		return v.id.id
	case executeOp:
		return v.id
	}
	return ""
}

// requestState is the model's state of one request.
type requestState struct {
	executed     bool
	response     string
	lastSent     int // highest attempt number sent so far
	lastRejected int // highest attempt number reported as not executed
}

var requestModel = porcupine.Model{
	Init: func() any { return requestState{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(requestState)
		switch in := input.(type) {
		case sendOp:
			s.lastSent = max(s.lastSent, in.id.attempt)
		case executeOp:
			if s.executed || s.lastSent <= s.lastRejected {
				return false, s
			}
			s.executed, s.response = true, in.response
		case outcomeOp:
			return s.applyOutcome(in.id.attempt, output)
		}
		return true, s
	},
	DescribeOperation: func(input, output any) string {
		switch in := input.(type) {
		case sendOp:
			return fmt.Sprintf("send attempt %d", in.id.attempt)
		case executeOp:
			return fmt.Sprintf("execute, response %q", in.response)
		case outcomeOp:
			if a, ok := output.(callerOutcome); ok {
				return fmt.Sprintf("attempt %d reported as %v, response %q", in.id.attempt, a.outcome, a.response)
			}
			return fmt.Sprintf("attempt %d without an outcome", in.id.attempt)
		}
		return ""
	},
}

func (s requestState) applyOutcome(attempt int, output any) (bool, any) {
	a, _ := output.(callerOutcome) // the zero value, unknown, if the send has no outcome
	switch a.outcome {
	case fault.Executed:
		return s.executed && (a.response == "" || a.response == s.response), s
	case fault.NotExecuted:
		if s.executed {
			return false, s
		}
		s.lastRejected = max(s.lastRejected, attempt)
	}
	return true, s
}
