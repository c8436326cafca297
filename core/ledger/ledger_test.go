package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/requestid"
)

var start = time.Unix(1000, 0)

func fixture(limits ledger.Limits) (*requestid.Issuer, *ledger.Ledger) {
	s := requestid.NewIssuer(7, requestid.Key{1}, start, requestid.DefaultWindow)
	return s, ledger.New(s, limits)
}

func requestOf(id requestid.ID) ledger.Request {
	return ledger.Request{ID: id, Service: "plug-ledger", Method: "record", Backer: "koper", Digest: 1, Attempt: 1, Retries: 2}
}

func mustBegin(t *testing.T, g *ledger.Ledger, q ledger.Request, want ledger.Action) ledger.Decision {
	t.Helper()
	d, err := g.Begin(start, q)
	assert.NilError(t, err)
	assert.Equal(t, d.Action, want)
	return d
}

func assertRejected(t *testing.T, g *ledger.Ledger, now time.Time, q ledger.Request, k fault.Kind, o fault.Outcome) {
	t.Helper()
	_, err := g.Begin(now, q)
	assert.Equal(t, fault.KindOf(err), k)
	assert.Equal(t, fault.From(err).Outcome(), o)
}

// Guards against a second execution after a response, and against a stored response that changes between sends.
func TestResendReplaysResponse(t *testing.T) {
	s, g := fixture(ledger.DefaultLimits)
	q := requestOf(s.Issue(start, 1)[0])
	d := mustBegin(t, g, q, ledger.Dispatch)
	assertRejected(t, g, start, q, fault.InProgress, fault.Unknown)
	a, _, err := g.RecordDispatch(start, d.Ticket, 9)
	assert.NilError(t, err)
	body := []byte("ok")
	g.RecordCompletion(start, d.Ticket, a, ledger.Response{Status: 200, Body: body})
	body[0] = 'x'
	r := mustBegin(t, g, q, ledger.Replay)
	assert.Equal(t, string(r.Response.Body), "ok")
}

// Guards against a response that is returned to a different request with the same id.
func TestReusedIDIsRejected(t *testing.T) {
	s, g := fixture(ledger.DefaultLimits)
	q := requestOf(s.Issue(start, 1)[0])
	mustBegin(t, g, q, ledger.Dispatch)
	for _, change := range []func(*ledger.Request){
		func(q *ledger.Request) { q.Method = "remove" },
		func(q *ledger.Request) { q.Service = "plug" },
		func(q *ledger.Request) { q.Backer = "araba" },
		func(q *ledger.Request) { q.Digest = 2 },
	} {
		other := q
		change(&other)
		assertRejected(t, g, start, other, fault.RequestIDReused, fault.NotExecuted)
	}
}

// Guards against resends that together get more attempts than the retry budget of the request allows.
func TestResendsShareRetryBudget(t *testing.T) {
	s, g := fixture(ledger.DefaultLimits)
	q := requestOf(s.Issue(start, 1)[0])
	sends := 0
	for q.Attempt = 1; q.Attempt < 10; q.Attempt++ {
		q.Retries = 100 // a caller that sends a larger budget with each resend
		if q.Attempt == 1 {
			q.Retries = 2
		}
		d := mustBegin(t, g, q, ledger.Dispatch)
		a, retries, err := g.RecordDispatch(start, d.Ticket, 9)
		if err == nil {
			sends++
			g.RecordNotExecuted(start, d.Ticket, a, retries+5) // an executor that returns more than it was lent
		} else {
			assert.Equal(t, fault.KindOf(err), fault.RetryBudgetExhausted)
		}
		g.Release(start, d.Ticket)
	}
	assert.Equal(t, sends, 3)
}

// Guards against a delayed copy of a send that starts after not-executed was reported to its caller.
func TestRejectedSendCannotStartLater(t *testing.T) {
	s, g := fixture(ledger.DefaultLimits)
	q := requestOf(s.Issue(start, 1)[0])
	q.Attempt = 2
	d := mustBegin(t, g, q, ledger.Dispatch)
	g.Release(start, d.Ticket)
	assertRejected(t, g, start, q, fault.Fenced, fault.NotExecuted)
	q.Attempt = 1
	assertRejected(t, g, start, q, fault.Fenced, fault.NotExecuted)
	q.Attempt = 3
	mustBegin(t, g, q, ledger.Dispatch)
}

// Guards against an attempt that starts while the outcome of an earlier one is unknown.
func TestExecutorIsQueriedAfterLostAttempt(t *testing.T) {
	for status, want := range map[ledger.AttemptStatus]fault.Kind{
		ledger.NotExecuted: fault.None, ledger.Executed: fault.AlreadyExecuted, ledger.Running: fault.InProgress,
		ledger.Gone: fault.OutcomeUnknown, ledger.Unreachable: fault.OutcomeUnknown,
	} {
		s, g := fixture(ledger.DefaultLimits)
		q := requestOf(s.Issue(start, 1)[0])
		d := mustBegin(t, g, q, ledger.Dispatch)
		sent, _, _ := g.RecordDispatch(start, d.Ticket, 9)
		g.Release(start, d.Ticket)
		d = mustBegin(t, g, q, ledger.QueryExecutor)
		assert.Equal(t, d.Attempt, sent)
		_, _, err := g.RecordDispatch(start, d.Ticket, 9)
		assert.Equal(t, fault.KindOf(err), fault.Fenced)
		assert.Equal(t, fault.KindOf(g.RecordStatus(start, d.Ticket, sent, status)), want)
		needsQuery := g.NeedsQuery(start, d.Ticket, ledger.Attempt{ID: q.ID, Nonce: sent.Nonce + 1, Executor: 9})
		assert.Assert(t, !needsQuery, "a report on an attempt that was never sent is accepted")
		if want != fault.None {
			_, _, err = g.RecordDispatch(start, d.Ticket, 9)
			assert.Equal(t, fault.KindOf(err), fault.Fenced)
		}
	}
}

// Guards against growth beyond the limits, and against an eviction that would let a valid id start again.
func TestFullLedgerRejectsNewIDs(t *testing.T) {
	s, g := fixture(ledger.Limits{Records: 2, Bytes: 5, ResponseBytes: 4})
	ids := s.Issue(start, 3)
	for _, id := range ids[:2] {
		d := mustBegin(t, g, requestOf(id), ledger.Dispatch)
		a, _, _ := g.RecordDispatch(start, d.Ticket, 9)
		g.RecordCompletion(start, d.Ticket, a, ledger.Response{Status: 200, Body: []byte("abc")})
	}
	mustBegin(t, g, requestOf(ids[0]), ledger.Replay)
	assertRejected(t, g, start, requestOf(ids[1]), fault.AlreadyExecuted, fault.Executed)
	assertRejected(t, g, start, requestOf(ids[2]), fault.LedgerFull, fault.NotExecuted)
	resend := requestOf(ids[2])
	resend.Attempt = 2
	assertRejected(t, g, start, resend, fault.LedgerFull, fault.Unknown)

	end := start.Add(requestid.DefaultWindow)
	assertRejected(t, g, end, requestOf(ids[0]), fault.RequestIDExpired, fault.Unknown)
	g.Tick(end.Add(time.Second))
	assert.Equal(t, g.Len(), 0)
	assert.Equal(t, g.Bytes(), 0)
}

// Guards against sub-calls of one root that share a record, and against records that are not removed.
func TestSubCallsHaveTheirOwnRecords(t *testing.T) {
	s, g := fixture(ledger.DefaultLimits)
	root := s.Issue(start, 1)[0]
	for _, suffix := range []string{"", "/a", "/a/b", "/b"} {
		id, ok := requestid.Parse(root.String() + suffix)
		assert.Assert(t, ok)
		d := mustBegin(t, g, requestOf(id), ledger.Dispatch)
		a, _, _ := g.RecordDispatch(start, d.Ticket, 9)
		g.RecordCompletion(start, d.Ticket, a, ledger.Response{Status: 200, Body: []byte(suffix)})
		assert.Equal(t, string(mustBegin(t, g, requestOf(id), ledger.Replay).Response.Body), suffix)
	}
	assert.Equal(t, g.Len(), 4)
	g.Tick(start.Add(requestid.DefaultWindow + time.Second))
	assert.Equal(t, g.Len(), 0)
	assert.Equal(t, g.Bytes(), 0)
}

func ExampleLedger() {
	issuer := requestid.NewIssuer(7, requestid.Key{1}, start, requestid.DefaultWindow)
	g := ledger.New(issuer, ledger.DefaultLimits)
	q := ledger.Request{ID: issuer.Issue(start, 1)[0], Service: "unplug-desk", Method: "unplug", Attempt: 1, Retries: 3}

	d, _ := g.Begin(start, q)
	attempt, retries, _ := g.RecordDispatch(start, d.Ticket, 9)
	fmt.Println("send attempt", attempt.Nonce, "with", retries, "retries to node", attempt.Executor)
	g.RecordCompletion(start, d.Ticket, attempt, ledger.Response{Status: 200, Body: []byte("unplugged")})

	q.Attempt = 2
	d, _ = g.Begin(start, q)
	fmt.Println(d.Action == ledger.Replay, string(d.Response.Body))
	// Output:
	// send attempt 1 with 2 retries to node 9
	// true unplugged
}
