// Package strict is an HTTP/1 transport that returns no broken response.
//
// Package net/http accepts responses whose head is not one of HTTP, and takes a reset during a request for the end of a
// body without a length.
package strict

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"mustardmast/io/message"
	"mustardmast/io/rawhead"
)

// MaxInterim is the number of interim responses that precede a response of most peers at most.
const MaxInterim = 32

// Transport rejects broken responses of a transport of net/http. A rejected response is an error, and its connection is not
// used again. Its methods may be called concurrently.
type Transport struct {
	base       *http.Transport
	maxInterim int
}

// New returns a transport that rejects broken responses of base, and those that follow more than maxInterim interim
// responses; 0 is for no limit. The connections of base must be those of package orderly.
func New(base *http.Transport, maxInterim int) *Transport {
	return &Transport{base: base, maxInterim: maxInterim}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := &exchange{maxInterim: t.maxInterim}
	defer x.stop()
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: x.gotConn, Got1xxResponse: x.gotInterim})
	resp, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := x.gotFinal(resp); err != nil {
		x.closeConn() // without a body, the transport has kept the connection
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Request = r
	return resp, nil
}

// exchange is a request and its responses. The transport calls its methods from several goroutines.
type exchange struct {
	maxInterim int

	mu       sync.Mutex
	conn     net.Conn
	recorder *rawhead.Recorder // of conn; nil if the bytes of the responses are not recorded
	interim  int
	err      error // of the first broken interim response
}

// gotConn records the connection that is assigned to the request. It is called again if the transport changes it.
func (x *exchange) gotConn(i httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.recorder = i.Conn, nil
	if c, ok := i.Conn.(interface{ Record(w io.Writer) }); ok { // not with TLS
		x.recorder = &rawhead.Recorder{}
		c.Record(x.recorder)
	}
}

// gotInterim checks an interim response. An error of it would be lost if the request has a trace of its own.
func (x *exchange) gotInterim(status int, h textproto.MIMEHeader) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err == nil {
		x.err = x.check(status, http.Header(h))
	}
	if x.interim++; x.err == nil && x.maxInterim > 0 && x.interim > x.maxInterim {
		x.err = fmt.Errorf("more than %d interim responses", x.maxInterim)
	}
	return x.err
}

func (x *exchange) gotFinal(resp *http.Response) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err != nil {
		return x.err
	}
	return x.check(resp.StatusCode, resp.Header)
}

func (x *exchange) check(status int, h http.Header) error {
	if x.recorder == nil {
		return message.CheckHead(status, h)
	}
	return x.recorder.Check(status, h)
}

func (x *exchange) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.conn.Close() // nobody uses it
}

// stop ends the recording.
func (x *exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.recorder != nil {
		x.recorder.Stop()
	}
}
