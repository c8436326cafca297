// Package outbound sends HTTP requests and reports truthfully whether a failed request may have been executed.
//
// This depends on whether the request was assigned a connection. Without a connection no byte can have been sent, so
// the request was not executed; otherwise the outcome is unknown.
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

// Sender sends requests to one kind of peer. It is safe for concurrent use after SetMonitor.
type Sender struct {
	transport   http.RoundTripper
	unreachable fault.Kind
	lost        fault.Kind
	peerName    string
	monitor     *ConnMonitor
}

// New returns a sender. Errors are of the kind unreachable if no connection could be opened, and of the kind lost if a
// connection broke; peerName names the peer in error details.
func New(t http.RoundTripper, unreachable, lost fault.Kind, peerName string) *Sender {
	return &Sender{transport: t, unreachable: unreachable, lost: lost, peerName: peerName}
}

// SetMonitor makes the sender report to m which call uses which connection. The transport must dial with m.Dial.
func (s *Sender) SetMonitor(m *ConnMonitor) { s.monitor = m }

// Send sends r, which carries the call c.
func (s *Sender) Send(ctx context.Context, r *http.Request, c call.Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	var u *connUse
	if s.monitor != nil {
		u = s.monitor.newConnUse(c)
		defer u.ended()
		trace = monitorTrace(u, &connected)
	}
	res, err := s.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, s.wrapError(ctx, err, connected.Load())
	}
	return res, nil
}

func monitorTrace(u *connUse, connected *atomic.Bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected.Store(true)
			u.gotConn(i.Conn)
		},
		WroteHeaders: u.wroteHeaders,
		// With this hook the transport accepts any number of interim responses, which a peer sends to show progress.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}
}

func (s *Sender) wrapError(ctx context.Context, err error, connected bool) error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case expired && !connected:
		return fault.Wrap(err, fault.DeadlinePassed, "connect to the "+s.peerName)
	case expired:
		return fault.Wrap(err, fault.DeadlineExceeded, "wait for the "+s.peerName)
	case ctx.Err() != nil && !connected:
		return fault.Wrap(err, fault.Canceled, "connect to the "+s.peerName).WithOutcome(fault.NotExecuted)
	case ctx.Err() != nil:
		return fault.Wrap(err, fault.Canceled, "wait for the "+s.peerName)
	case !connected:
		return fault.Wrap(err, s.unreachable, "connect to the "+s.peerName)
	default:
		return fault.Wrap(err, s.lost, "send to the "+s.peerName)
	}
}

// SetBody sets the body of r, such that the transport can reopen it for a retry. It fails if b was already read and is
// not buffered.
func SetBody(r *http.Request, b *message.Body) error {
	r.ContentLength = b.Length()
	if b.Empty() {
		r.Body = http.NoBody
		return nil
	}
	open := func() (io.ReadCloser, error) {
		rc, ok := b.Open()
		if !ok {
			return nil, errors.New("the body was already read and is too large to be buffered")
		}
		return rc, nil
	}
	rc, err := open()
	if err != nil {
		return fault.Wrap(err, fault.RetryBudgetExhausted, "retry the request")
	}
	r.Body, r.GetBody = rc, open
	return nil
}
