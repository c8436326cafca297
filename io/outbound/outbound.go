// Package outbound sends one HTTP request and states truthfully what a failure means for its execution.
//
// The one fact that decides is whether a connection was there to write to. Without one no byte can have left, so the
// request was not executed; with one the outcome is unknown.
package outbound

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/pkg/errors"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/message"
)

// Sender sends requests to one kind of peer.
type Sender struct {
	transport   http.RoundTripper
	unreachable fault.Kind
	lost        fault.Kind
	peer        string
	conns       *ConnMonitor
}

// New returns a sender. The kinds are those for no connection and for a connection that broke; peer names the far end
// in error details.
func New(t http.RoundTripper, unreachable, lost fault.Kind, peer string) *Sender {
	return &Sender{transport: t, unreachable: unreachable, lost: lost, peer: peer}
}

// SetMonitor makes the sender tell c which call is on which connection. The transport must dial by c.
func (s *Sender) SetMonitor(c *ConnMonitor) { s.conns = c }

// Send sends r, which carries the call c.
func (s *Sender) Send(ctx context.Context, r *http.Request, c call.Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	var u *use
	if s.conns != nil {
		u = s.conns.newUse(c)
		defer u.end()
		trace = watchTrace(u, &connected)
	}
	res, err := s.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, s.explain(ctx, err, connected.Load())
	}
	return res, nil
}

func watchTrace(u *use, connected *atomic.Bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected.Store(true)
			u.got(i.Conn)
		},
		WroteHeaders: u.wrote,
		// With this hook the transport accepts any number of interim responses, by which a peer shows that it is alive.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}
}

func (s *Sender) explain(ctx context.Context, err error, connected bool) error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case expired && !connected:
		return fault.Wrap(err, fault.DeadlinePassed, "connect to the "+s.peer)
	case expired:
		return fault.Wrap(err, fault.DeadlineExceeded, "wait for the "+s.peer)
	case ctx.Err() != nil && !connected:
		return fault.Wrap(err, fault.Canceled, "connect to the "+s.peer).WithOutcome(fault.NotExecuted)
	case ctx.Err() != nil:
		return fault.Wrap(err, fault.Canceled, "wait for the "+s.peer)
	case !connected:
		return fault.Wrap(err, s.unreachable, "connect to the "+s.peer)
	default:
		return fault.Wrap(err, s.lost, "send to the "+s.peer)
	}
}

// SetBody gives r the request's body, so that it can be opened again when nothing of it was written.
func SetBody(r *http.Request, b *message.Body) error {
	r.ContentLength = b.Length()
	if b.Empty() {
		r.Body = http.NoBody
		return nil
	}
	open := func() (io.ReadCloser, error) {
		rc, ok := b.Open()
		if !ok {
			return nil, errors.New("the body was already read and is too large to be kept")
		}
		return rc, nil
	}
	rc, err := open()
	if err != nil {
		return fault.Wrap(err, fault.RetryBudgetExhausted, "send again")
	}
	r.Body, r.GetBody = rc, open
	return nil
}
