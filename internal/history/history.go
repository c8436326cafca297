// Package history checks the results that concurrent clients of a system received against a sequential model of it
// (linearizability).
//
// A test records when each operation was invoked, when it returned, and its result. An operation with an unknown
// outcome is recorded too: it may have taken effect at any time since its invocation, or never. The checker, porcupine,
// searches for an order of all operations that the model allows and that preserves the order of operations which did
// not overlap.
//
// There are two models. Requests is for non-idempotent requests: the outcomes that callers received and the executions
// at the targets. Generations is for the configuration: the writes of operators and the generations that nodes had in
// force.
//
// Recorders are safe for concurrent use. They order events by a counter instead of a clock, so they can be used under
// virtual time, and with separate processes if all events are recorded in one process.
package history

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
)

// checkTimeout bounds the check of one history. Histories of one request are short; a check that exceeds the timeout
// fails.
const checkTimeout = 30 * time.Second

// never is the return time of an operation that has not returned and may still take effect.
const never = math.MaxInt64

// recorder records operations and numbers their events in order.
type recorder struct {
	mu      sync.Mutex
	counter int64
	ops     []porcupine.Operation
}

// invoke records the invocation of an operation and returns its index.
func (r *recorder) invoke(client int, input any) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: r.counter, Return: never})
	return len(r.ops) - 1
}

// returned records the return of an operation and its result.
func (r *recorder) returned(i int, output any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	r.ops[i].Return, r.ops[i].Output = r.counter, output
}

// instant records an operation without a result that takes effect at once.
func (r *recorder) instant(client int, input any) {
	r.returned(r.invoke(client, input), nil)
}

func (r *recorder) history() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.ops...)
}

// check returns an error with the operations of the named history if the model allows no order of them.
func check(m porcupine.Model, name string, ops []porcupine.Operation) error {
	switch porcupine.CheckOperationsTimeout(m, ops, checkTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return errors.Errorf("%s: the model allows no order of the history:%s", name, describe(m, ops))
	default:
		return errors.Errorf("%s: the check of %d operations took longer than %v", name, len(ops), checkTimeout)
	}
}

func describe(m porcupine.Model, ops []porcupine.Operation) string {
	s := ""
	for _, o := range ops {
		end := "open"
		if o.Return != never {
			end = time.Duration(o.Return).String()
		}
		s += "\n  " + time.Duration(o.Call).String() + ".." + end + " " + m.DescribeOperation(o.Input, o.Output)
	}
	return s
}
