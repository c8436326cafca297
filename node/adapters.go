package node

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
	"mustardmast/io/dispatch"
	"mustardmast/io/eventlog"
	"mustardmast/io/header"
	"mustardmast/io/message"
)

// idIssuer implements caller.IDIssuer: it issues request ids in text form.
type idIssuer struct {
	issuer *requestid.Issuer
	clock  mustardmast.Clock
}

func (i idIssuer) Issue(n int) []string {
	issued := i.issuer.Issue(i.clock.Now(), n)
	texts := make([]string, len(issued))
	for j, id := range issued {
		texts[j] = id.String()
	}
	return texts
}

func (idIssuer) IsIssued(id string) bool {
	_, ok := requestid.Parse(id)
	return ok
}

// attemptQuerier implements dispatch.AttemptQuerier. It queries this node's own register directly and other nodes
// through their control service.
type attemptQuerier struct {
	self     mustardmast.NodeID
	clock    mustardmast.Clock
	register *register.Register
	remote   dispatch.AttemptQuerier
}

func (q attemptQuerier) QueryAttempt(ctx context.Context, executor mustardmast.NodeID, a ledger.Attempt) ledger.AttemptStatus {
	if executor == q.self {
		return q.register.Withdraw(q.clock.Now(), a)
	}
	if q.remote == nil {
		return ledger.Unreachable
	}
	return q.remote.QueryAttempt(ctx, executor, a)
}

// recovery responds with an internal error to requests whose handler panicked. http.ErrAbortHandler is passed on to
// net/http, which breaks the connection so that a truncated response is not mistaken for a complete one.
type recovery struct{ log *eventlog.Log }

func (r *recovery) ServeHTTP(w http.ResponseWriter, q *http.Request, next http.HandlerFunc) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p == http.ErrAbortHandler { //nolint:errorlint // a panic value, compared as net/http does
			panic(p)
		}
		r.log.Write(eventlog.HandlerPanicked, zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		if started, ok := w.(negroni.ResponseWriter); ok && started.Written() {
			message.Abort(w, q) // an error message would complete the truncated response
		}
		header.WriteError(w, q.Header.Get(header.RequestID), fault.New(fault.Internal, "the handler panicked"))
	}()
	next(w, q)
}

// requestCounter counts the requests in progress.
type requestCounter struct{ active *atomic.Int64 }

func (c *requestCounter) ServeHTTP(w http.ResponseWriter, q *http.Request, next http.HandlerFunc) {
	c.active.Add(1)
	defer c.active.Add(-1)
	next(w, q)
}
