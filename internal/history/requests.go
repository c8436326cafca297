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
// invocation until a send with the same or a higher attempt number is told not-executed. A caller is told
// not-executed only when nothing has run, executed only when it has, and with the answer of this execution.
type Requests struct {
	r recorder
}

// Send is one send of a request by its caller.
type Send struct {
	q       *Requests
	index   int
	id      string
	attempt int
}

// Execution is one run of a request at a target.
type Execution struct {
	q     *Requests
	index int
}

type (
	opened  struct{ id requestID }
	told    struct{ id requestID }
	execute struct {
		id     string
		answer string
	}
	requestID struct {
		id      string
		attempt int
	}
	answered struct {
		outcome fault.Outcome
		answer  string
	}
)

// Send records that a caller sends a request. The attempt number rises with each send of one id.
func (q *Requests) Send(id string, attempt int) Send {
	k := requestID{id: id, attempt: attempt}
	q.r.point(0, opened{k})
	return Send{q: q, index: q.r.invoke(0, told{k}), id: id, attempt: attempt}
}

// RecordOutcome records what the caller was told. The answer is empty when the caller did not get one. A send that is never
// told anything has an unknown outcome.
func (s Send) RecordOutcome(o fault.Outcome, answer string) {
	s.q.r.returned(s.index, answered{o, answer})
}

// Execute records that a target starts a request, and the answer that it will give.
func (q *Requests) Execute(id, answer string) Execution {
	return Execution{q: q, index: q.r.invoke(0, execute{id, answer})}
}

// End records that the execution has finished. Without End the execution may have taken effect at any time.
func (e Execution) End() { e.q.r.returned(e.index, nil) }

// Check returns an error for the first request, by id, whose history the model does not allow.
func (q *Requests) Check() error {
	byID := map[string][]porcupine.Operation{}
	for _, o := range q.r.history() {
		if _, send := o.Input.(told); send && o.Output == nil {
			continue // a send that was told nothing allows every order; leaving it out shortens the search
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
	case opened:
		return v.id.id
	case told:
		return v.id.id
	case execute:
		return v.id
	}
	return ""
}

// request is the state of one request.
type request struct {
	ran    bool
	answer string
	open   int // highest attempt number sent
	closed int // highest attempt number told not-executed
}

var requestModel = porcupine.Model{
	Init: func() any { return request{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(request)
		switch in := input.(type) {
		case opened:
			s.open = max(s.open, in.id.attempt)
		case execute:
			if s.ran || s.open <= s.closed {
				return false, s
			}
			s.ran, s.answer = true, in.answer
		case told:
			return s.tell(in.id.attempt, output)
		}
		return true, s
	},
	DescribeOperation: func(input, output any) string {
		switch in := input.(type) {
		case opened:
			return fmt.Sprintf("send attempt %d", in.id.attempt)
		case execute:
			return fmt.Sprintf("execute, answer %q", in.answer)
		case told:
			if a, ok := output.(answered); ok {
				return fmt.Sprintf("attempt %d told %v %q", in.id.attempt, a.outcome, a.answer)
			}
			return fmt.Sprintf("attempt %d told nothing", in.id.attempt)
		}
		return ""
	},
}

func (s request) tell(attempt int, output any) (bool, any) {
	a, _ := output.(answered) // a send without an answer is unknown, the zero value
	switch a.outcome {
	case fault.Executed:
		return s.ran && (a.answer == "" || a.answer == s.answer), s
	case fault.NotExecuted:
		if s.ran {
			return false, s
		}
		s.closed = max(s.closed, attempt)
	}
	return true, s
}
