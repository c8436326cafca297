// Package strict is an HTTP/1 transport that returns neither a malformed response nor, as a complete one, one that was
// truncated.
//
// Package net/http accepts some malformed heads, and can take a connection that breaks during a request for the end of a
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

// Transport rejects malformed responses of a transport of net/http. A rejected response is an error, and its connection is not
// used again. Its methods may be called concurrently.
type Transport struct {
	base       *http.Transport
	maxInterim int
}

// New returns a transport that uses base and also rejects a response after more than maxInterim interim ones; 0 is for no
// limit. Base must open its connections by orderly.Dial, or such that they embed an orderly.Conn.
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
		return nil, x.cause(err)
	}
	if err := x.gotFinal(resp); err != nil {
		_ = resp.Body.Close() // the response is not used
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
	err      error // why the responses are rejected
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

// gotInterim checks an interim response.
func (x *exchange) gotInterim(status int, h textproto.MIMEHeader) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.check(status, http.Header(h))
	if x.interim++; x.maxInterim > 0 && x.interim > x.maxInterim {
		x.reject(fmt.Errorf("more than %d interim responses", x.maxInterim))
	}
	return x.err // lost if the request has a trace of its own
}

func (x *exchange) gotFinal(resp *http.Response) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.check(resp.StatusCode, resp.Header)
	return x.err
}

// check rejects the responses if a head is malformed. The caller must hold the lock.
func (x *exchange) check(status int, h http.Header) {
	err := message.CheckHead(status, h)
	if x.recorder != nil {
		err = x.recorder.Check(status, h)
	}
	if err != nil {
		x.reject(err)
	}
}

// reject closes the connection, which the transport keeps after a response without a body. The caller must hold the lock.
func (x *exchange) reject(err error) {
	if x.err == nil {
		x.err = err
	}
	_ = x.conn.Close() // its responses are not used
}

// cause returns why the responses were rejected, or else the error of the transport.
func (x *exchange) cause(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err != nil {
		return x.err
	}
	return err
}

// stop ends the recording.
func (x *exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.recorder != nil {
		x.recorder.Stop()
	}
}
