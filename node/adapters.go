package node

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
	"mustardmast/io/dispatch"
	"mustardmast/io/eventlog"
	"mustardmast/io/header"
)

// ids gives the caller server the text form of issued ids.
type ids struct {
	issuer *requestid.Issuer
	clock  mustardmast.Clock
}

func (i ids) Issue(n int) []string {
	l := i.issuer.Issue(i.clock.Now(), n)
	s := make([]string, len(l))
	for k, id := range l {
		s[k] = id.String()
	}
	return s
}

func (ids) IsIssued(id string) bool {
	_, ok := requestid.Parse(id)
	return ok
}

// outcomes asks the own register directly and other nodes by their control service.
type outcomes struct {
	self     mustardmast.NodeID
	clock    mustardmast.Clock
	register *register.Register
	remote   dispatch.AttemptQuerier
}

func (o outcomes) QueryAttempt(ctx context.Context, executor mustardmast.NodeID, a ledger.Attempt) ledger.AttemptStatus {
	if executor == o.self {
		return o.register.Withdraw(o.clock.Now(), a)
	}
	if o.remote == nil {
		return ledger.Unreachable
	}
	return o.remote.QueryAttempt(ctx, executor, a)
}

// recovery answers calls whose handler panicked. http.ErrAbortHandler goes on to net/http, which breaks the connection
// so that a response cut short is not taken for a complete one.
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
		header.WriteError(w, q.Header.Get(header.RequestID), fault.New(fault.Internal, "the handler panicked"))
	}()
	next(w, q)
}

// counter counts the requests that are being served.
type counter struct{ active *atomic.Int64 }

func (c *counter) ServeHTTP(w http.ResponseWriter, q *http.Request, next http.HandlerFunc) {
	c.active.Add(1)
	defer c.active.Add(-1)
	next(w, q)
}
