package register_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
)

const window = requestid.DefaultWindow

var start = time.Unix(1000, 0)

func fixture(l register.Limits) (*requestid.Issuer, *register.Register) {
	return requestid.NewIssuer(7, requestid.Key{1}, start, window), register.New(9, start, window, l)
}

func attempt(id requestid.ID, nonce uint32) ledger.Attempt {
	return ledger.Attempt{ID: id, Nonce: nonce, Executor: 9}
}

func assertRejected(t *testing.T, err error, k fault.Kind, o fault.Outcome) {
	t.Helper()
	assert.Equal(t, fault.KindOf(err), k)
	assert.Equal(t, fault.From(err).Outcome(), o)
}

// Guards against a copy of an attempt that starts again or is reported as not executed.
func TestRepeatedStartIsRejected(t *testing.T) {
	s, r := fixture(register.DefaultLimits)
	a := attempt(s.Issue(start, 1)[0], 1)
	assert.NilError(t, r.Start(start, a, time.Time{}))
	assertRejected(t, r.Start(start, a, time.Time{}), fault.InProgress, fault.Unknown)
	assert.Equal(t, r.Withdraw(start, a), ledger.Running)
	assertRejected(t, r.Reject(start, a, fault.New(fault.Shed, "")), fault.InProgress, fault.Unknown)
	r.Finish(start, a)
	assertRejected(t, r.Start(start, a, time.Time{}), fault.AlreadyExecuted, fault.Executed)
	assert.Equal(t, r.Withdraw(start, a), ledger.Executed)
}

// Guards against an attempt that starts after it was reported to its owner as not executed.
func TestWithdrawnAttemptNeverStarts(t *testing.T) {
	s, r := fixture(register.DefaultLimits)
	a := attempt(s.Issue(start, 1)[0], 1)
	assert.Equal(t, r.Withdraw(start, a), ledger.NotExecuted)
	assertRejected(t, r.Start(start, a, time.Time{}), fault.Fenced, fault.NotExecuted)

	next := attempt(a.ID, 2)
	assert.NilError(t, r.Start(start, next, time.Time{}))
	assert.Equal(t, r.Withdraw(start, a), ledger.NotExecuted)
	r.TargetRejected(start, next)
	assert.Equal(t, r.Withdraw(start, next), ledger.NotExecuted)
	assertRejected(t, r.Start(start, next, time.Time{}), fault.Fenced, fault.NotExecuted)

	for _, reject := range []func(ledger.Attempt){
		func(a ledger.Attempt) { assert.ErrorContains(t, r.Reject(start, a, fault.New(fault.Shed, "")), "shed") },
		func(a ledger.Attempt) {
			assertRejected(t, r.Start(start, a, start), fault.DeadlinePassed, fault.NotExecuted)
		},
	} {
		a := attempt(s.Issue(start, 1)[0], 1)
		reject(a)
		assertRejected(t, r.Start(start, a, start.Add(time.Hour)), fault.Fenced, fault.NotExecuted)
	}
}

// Guards against a new process that reports outcomes for its predecessor.
func TestOtherIncarnationIsRejected(t *testing.T) {
	s, r := fixture(register.DefaultLimits)
	a := attempt(s.Issue(start, 1)[0], 1)
	a.Executor = 8
	assertRejected(t, r.Start(start, a, time.Time{}), fault.WrongIncarnation, fault.NotExecuted)
	assertRejected(t, r.Reject(start, a, fault.New(fault.Shed, "")), fault.WrongIncarnation, fault.NotExecuted)
	assert.Equal(t, r.Withdraw(start, a), ledger.Gone)
	assert.Equal(t, r.Len(), 0)
}

// Guards against an attempt that can start because its record or tombstone was dropped before a late copy arrived.
func TestDroppedRecordsStayRejected(t *testing.T) {
	s, r := fixture(register.DefaultLimits)
	ids := s.Issue(start, 3)
	ran, fenced, fresh := attempt(ids[0], 1), attempt(ids[1], 1), attempt(ids[2], 1)
	assert.NilError(t, r.Start(start, ran, time.Time{}))
	r.Withdraw(start.Add(window), fenced)
	r.Tick(start.Add(3 * window))
	assert.Equal(t, r.Len(), 0)

	late := start.Add(100 * window)
	for _, a := range []ledger.Attempt{ran, fenced, fresh} {
		assertRejected(t, r.Start(late, a, time.Time{}), fault.RequestIDExpired, fault.Unknown)
		assert.Equal(t, r.Withdraw(late, a), ledger.Unreachable)
		assertRejected(t, r.Reject(late, a, fault.New(fault.Shed, "")), fault.RequestIDExpired, fault.Unknown)
	}
	assert.NilError(t, r.Start(late, attempt(s.Issue(late, 1)[0], 1), time.Time{}))
}

// Guards against dropping a record by its first instead of its last use, and against growth by repeated use.
func TestUsedRecordIsKept(t *testing.T) {
	s, r := fixture(register.DefaultLimits)
	a := attempt(s.Issue(start, 1)[0], 1)
	for i := range 10 {
		r.Withdraw(start.Add(time.Duration(i)*window), attempt(a.ID, uint32(i+1)))
	}
	assert.Equal(t, r.Len(), 1)
	assertRejected(t, r.Start(start.Add(10*window), a, time.Time{}), fault.Fenced, fault.NotExecuted)
	r.Tick(start.Add(12 * window))
	assert.Equal(t, r.Len(), 0)
}

// Guards against growth past the limits, and against a false not-executed when there is no room for a tombstone.
func TestFullRegister(t *testing.T) {
	s, r := fixture(register.Limits{Records: 8, Owners: 2})
	ids := s.Issue(start, 10)
	for _, id := range ids[:7] {
		assert.NilError(t, r.Start(start, attempt(id, 1), time.Time{}))
	}
	assertRejected(t, r.Start(start, attempt(ids[7], 1), time.Time{}), fault.LedgerFull, fault.NotExecuted)
	assert.Equal(t, r.Withdraw(start, attempt(ids[8], 1)), ledger.NotExecuted)
	assert.Equal(t, r.Withdraw(start, attempt(ids[9], 1)), ledger.Unreachable)
	assert.Equal(t, r.Len(), 8)
}

func ExampleRegister() {
	owner := requestid.NewIssuer(7, requestid.Key{1}, start, window)
	r := register.New(9, start, window, register.DefaultLimits)
	a := ledger.Attempt{ID: owner.Issue(start, 1)[0], Nonce: 1, Executor: 9}

	// The owner has lost the connection and withdraws the attempt before it arrives.
	fmt.Println(r.Withdraw(start, a) == ledger.NotExecuted)
	fmt.Println(r.Start(start.Add(time.Second), a, start.Add(2*time.Second)))
	// Output:
	// true
	// fenced: the attempt was withdrawn before it arrived
}
