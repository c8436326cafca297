package targetconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/message"
)

// exchange sends a call on an open connection and reads the head of the response. It closes the connection if it fails.
func (p *Pool) exchange(ctx context.Context, cn *conn, c *mustardmast.TargetCall, lifetime string, deadline time.Time) (*mustardmast.TargetReply, http.Header, error) {
	if err := cn.SetDeadline(deadline.Add(responseGrace)); err != nil {
		_ = cn.Close()
		return nil, nil, fault.Wrap(err, fault.NotReady, "set deadline of target connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	body, err := p.sendRequest(cn, c, lifetime, time.Until(deadline))
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, nil, p.classify(ctx, err, "sending request to target")
	}
	resp, err := p.readResponse(cn, c)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, nil, p.classify(ctx, err, "no response from target")
	}
	reply, err := p.toReply(cn, resp, body, stop)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return reply, nil, err // the response of another lifetime
	}
	return reply, resp.Header, err
}

// classify returns the error of a call that failed after parts of it may have been sent.
func (p *Pool) classify(ctx context.Context, err error, detail string) error {
	if ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.Canceled, detail)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fault.Wrap(err, fault.DeadlineExceeded, detail)
	}
	return fault.Wrap(err, fault.TargetFailed, detail)
}

// upload is the state of a request body that is being sent.
type upload struct {
	done chan struct{}
	err  error
}

// complete reports whether the body was sent completely. A nil upload is complete.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// sendRequest writes the head of a request and its body. A large body or one of unknown length is sent concurrently,
// and the returned upload tracks it; otherwise the upload is nil.
func (p *Pool) sendRequest(cn *conn, c *mustardmast.TargetCall, lifetime string, left time.Duration) (*upload, error) {
	var b bytes.Buffer
	b.Grow(headSizeHint)
	for _, part := range [...]string{c.Method, " ", c.URI, " HTTP/1.1\r\nHost: ", c.Host, "\r\n"} {
		b.WriteString(part)
	}
	field := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	for name, values := range c.Header {
		for _, v := range values {
			field(name, v)
		}
	}
	field(p.names.TimeLeft, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	field(p.names.ExpectedLifetime, lifetime)
	switch {
	case c.Body != nil && c.Length < 0:
		field("Transfer-Encoding", "chunked")
	case c.Body != nil || c.Method == http.MethodPost || c.Method == http.MethodPut || c.Method == http.MethodPatch:
		field("Content-Length", strconv.FormatInt(max(0, c.Length), 10))
	}
	b.WriteString("\r\n")
	if c.Body == nil || c.Length == 0 {
		_, err := cn.Write(b.Bytes())
		return nil, err
	}
	if c.Length > 0 && c.Length <= maxInlineBody {
		if _, err := io.CopyN(&b, c.Body, c.Length); err != nil {
			return nil, err
		}
		_, err := cn.Write(b.Bytes())
		return nil, err
	}
	if _, err := cn.Write(b.Bytes()); err != nil {
		return nil, err
	}
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		if u.err = writeBody(cn, c); u.err != nil {
			_ = cn.Close() // a truncated body must not look complete
		}
	}()
	return u, nil
}

func writeBody(cn *conn, c *mustardmast.TargetCall) error {
	if c.Length >= 0 {
		n, err := message.Copy(cn, io.LimitReader(c.Body, c.Length), c.Length)
		if err == nil && n < c.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	buffer := make([]byte, chunkSize)
	for {
		n, err := c.Body.Read(buffer)
		if n > 0 {
			if _, err := fmt.Fprintf(cn, "%x\r\n%s\r\n", n, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is a failure
			_, err = io.WriteString(cn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// readResponse reads the response to a call. Responses to earlier calls on the connection are skipped. A refusal that
// names no call is accepted only on a new connection, since on a kept one it may repeat that of an earlier call.
func (p *Pool) readResponse(cn *conn, c *mustardmast.TargetCall) (*http.Response, error) {
	request := &http.Request{Method: c.Method}
	for range maxStaleResponses {
		resp, err := cn.readHead(request)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(p.names.RequestID)
		if id == c.ID || id == "" && p.notExecuted(resp) && !cn.kept {
			if p.notExecuted(resp) {
				cn.refused = append(cn.refused, c.ID)
			}
			return resp, nil
		}
		if id == "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, fmt.Errorf("response to another request: got id %q", id)
		}
		switch n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBody+1)); {
		case err != nil:
			return nil, errors.Wrap(err, "body of a response to another request")
		case n > maxStaleBody:
			return nil, fmt.Errorf("response to another request has a body of more than %d bytes", maxStaleBody)
		}
	}
	return nil, fmt.Errorf("more than %d responses to other requests", maxStaleResponses)
}

// notExecuted reports whether the response states that the target did not execute the request.
func (p *Pool) notExecuted(r *http.Response) bool {
	return r.Header.Get(p.names.NotExecuted) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// toReply converts a response to a reply, or to an error if the target did not execute the request.
func (p *Pool) toReply(cn *conn, resp *http.Response, u *upload, stop func() bool) (*mustardmast.TargetReply, error) {
	body := &replyBody{pool: p, conn: cn, resp: resp, upload: u, stop: stop}
	if p.notExecuted(resp) {
		// The head alone guarantees that the request was not executed. The body is read only to reuse the connection,
		// and may be truncated.
		_, _ = io.Copy(io.Discard, io.LimitReader(body, readBufferSize))
		_ = body.Close()
		if resp.StatusCode == http.StatusMisdirectedRequest {
			return nil, fault.New(fault.WrongIncarnation, "target address now belongs to lifetime "+resp.Header.Get(p.names.Lifetime))
		}
		return nil, fault.Newf(fault.TargetRefused, "target did not execute the request: status %d", resp.StatusCode)
	}
	header := make(http.Header, len(resp.Header))
	message.CopyHeader(header, resp.Header)
	length := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		length = 0 // the declared length is that of the response to GET
	}
	return &mustardmast.TargetReply{Status: resp.StatusCode, Header: header, Length: length, Body: body}, nil
}
