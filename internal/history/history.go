// Package history checks what concurrent clients of a system were told against what the system did.
//
// A test records when each operation was invoked, when it returned and with what. An operation whose outcome nobody
// knows is recorded too: it may have taken effect at any time since, or never. The checker, porcupine, looks for one
// order of all operations that a simple sequential model allows and that keeps operations apart which did not overlap.
//
// There are two models. Requests is for non-idempotent requests: what their callers were told and what the targets
// executed. Generations is for the configuration: what operators wrote and what nodes had in force.
//
// Recorders are safe for concurrent use. They order events by a counter, not by a clock, so they can be used under
// virtual time and with real processes whose events reach one recorder.
package history

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
)

// checkTimeout bounds one check. The histories of one request are short; a check that takes longer is reported as
// failed, never as passed.
const checkTimeout = 30 * time.Second

// never is the return time of an operation that may still take effect.
const never = math.MaxInt64

// recorder keeps operations in the order of their events.
type recorder struct {
	mu   sync.Mutex
	tick int64
	ops  []porcupine.Operation
}

// invoke records the start of an operation that has not returned, and returns its index.
func (r *recorder) invoke(client int, input any) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick++
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: r.tick, Return: never})
	return len(r.ops) - 1
}

// returned records the end of an operation.
func (r *recorder) returned(i int, output any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick++
	r.ops[i].Return, r.ops[i].Output = r.tick, output
}

// point records an operation that takes effect at once.
func (r *recorder) point(client int, input any) {
	r.returned(r.invoke(client, input), nil)
}

func (r *recorder) history() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.ops...)
}

// check returns an error that names the history when no order of it is allowed.
func check(m porcupine.Model, name string, ops []porcupine.Operation) error {
	switch porcupine.CheckOperationsTimeout(m, ops, checkTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return errors.Errorf("%s: no order of the history is allowed:%s", name, describe(m, ops))
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
