// Package platform is the client of the platform's object API, which docs/platform-api.md defines.
//
// The API is shared with other users and its rate of calls is limited, so the client counts every call and every
// waiting watch, retries only reads, up to a maximum number of attempts, and never repeats a write. A write whose
// response is lost has the error kind write-unknown; package io/store determines its outcome. A write has the kind
// platform-unavailable only if no connection was established or a response says so.
package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/orderly"
	"mustardmast/io/rawhead"
	"mustardmast/io/strict"
)

// MaxValueBytes is the maximum size of an object's value in bytes.
const MaxValueBytes = 1_000_000

// Defaults of Settings.
const (
	DefaultTimeout = 5 * time.Second
	// DefaultPollWait and watchMargin bound the time for which a watch can miss a change: one whose connection has gone
	// silent ends at their sum. A change must be in force everywhere within 8 s, of which its propagation takes 1.4 s.
	DefaultPollWait = 2 * time.Second
	DefaultAttempts = 3
	DefaultBackoff  = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second

	watchMargin = 3500 * time.Millisecond // time for the response of a watch after the end of its wait
)

// Settings configure a Client. Zero values select the defaults.
type Settings struct {
	URL       string // for example http://10.0.0.1:7000
	Timeout   time.Duration
	PollWait  time.Duration // maximum wait of one watch call
	Attempts  int           // per read
	Backoff   time.Duration // maximum wait before the second attempt of a read, with full jitter; doubles per attempt
	Rand      *rand.Rand    // source of jitter
	Meter     Meter
	Transport http.RoundTripper
}

// Client implements mustardmast.Platform. It is safe for concurrent use.
type Client struct {
	s    Settings
	base *url.URL
	http *http.Client

	mu   sync.Mutex // guards s.Rand
	wait func(ctx context.Context, d time.Duration) error
}

var _ mustardmast.Platform = (*Client)(nil)

// New returns a client. It opens no connection.
func New(s Settings) (*Client, error) {
	base, err := url.Parse(s.URL)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, fault.Newf(fault.BadRequest, "platform address %q; allowed: http://host:port", s.URL)
	}
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	if s.PollWait <= 0 {
		s.PollWait = DefaultPollWait
	}
	if s.Attempts <= 0 {
		s.Attempts = DefaultAttempts
	}
	if s.Backoff <= 0 {
		s.Backoff = DefaultBackoff
	}
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if s.Meter == nil {
		s.Meter = noMeter{}
	}
	if s.Transport == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.Proxy = nil // the platform is reached directly
		transport.DialContext = orderly.Dial(transport.DialContext)
		s.Transport = strict.New(transport, rawhead.MaxInterim)
	}
	// Redirects are not followed, because that would send a write twice.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{s: s, base: base, http: &http.Client{Transport: s.Transport, CheckRedirect: noRedirect}, wait: sleep}, nil
}

// Get reads one object. An object that does not exist has the error kind not-found.
func (c *Client) Get(ctx context.Context, name string) (mustardmast.Object, error) {
	o, _, err := c.read(ctx, OpGet, name, nil, c.s.Timeout)
	return o, err
}

// Watch blocks until the version of the object differs from after, by long polling with calls that each wait at most
// Settings.PollWait. An object that does not exist has version 0.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (mustardmast.Object, error) {
	q := url.Values{"watch": {strconv.FormatUint(after, 10)}, "wait-ms": {strconv.FormatInt(c.s.PollWait.Milliseconds(), 10)}}
	for {
		o, changed, err := c.read(ctx, OpWatch, name, q, c.s.PollWait+watchMargin)
		if err != nil || changed {
			return o, err
		}
	}
}

// read performs a read, with retries while the platform is unavailable.
func (c *Client) read(ctx context.Context, op Op, name string, q url.Values, timeout time.Duration) (o mustardmast.Object, changed bool, err error) {
	for attempt := 1; ; attempt++ {
		o, changed, err = c.readOnce(ctx, op, name, q, timeout)
		if fault.KindOf(err) != fault.PlatformUnavailable || attempt >= c.s.Attempts || ctx.Err() != nil {
			return o, changed, err
		}
		if c.wait(ctx, c.backoff(attempt)) != nil {
			return o, changed, err
		}
	}
}

func (c *Client) backoff(attempt int) time.Duration {
	d := min(c.s.Backoff<<(attempt-1), maxBackoff)
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.s.Rand.Int64N(int64(d) + 1))
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) readOnce(ctx context.Context, op Op, name string, q url.Values, timeout time.Duration) (o mustardmast.Object, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, http.MethodGet, name, q, "")
	if err != nil {
		return o, false, err
	}
	if op == OpWatch {
		c.s.Meter.AddWaiting(1)
		defer c.s.Meter.AddWaiting(-1)
	}
	defer func() { c.s.Meter.RecordCall(op, fault.KindOf(err), len(o.Value)) }()
	resp, err := c.http.Do(req)
	if err != nil {
		return o, false, fault.Wrap(err, fault.PlatformUnavailable, "read of "+name)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusOK:
		o, err = parseObject(name, resp)
		return o, err == nil, err
	case resp.StatusCode == http.StatusNotModified && op == OpWatch:
		return o, false, nil
	case resp.StatusCode == http.StatusNotFound:
		return o, false, fault.Newf(fault.NotFound, "object %q", name)
	case resp.StatusCode >= http.StatusInternalServerError, resp.StatusCode == http.StatusTooManyRequests:
		return o, false, fault.Newf(fault.PlatformUnavailable, "read of %s failed with status %s", name, resp.Status)
	default:
		return o, false, fault.Newf(fault.BadRequest, "read of %s failed with status %s: %s", name, resp.Status, errorText(resp))
	}
}

func parseObject(name string, resp *http.Response) (mustardmast.Object, error) {
	o := mustardmast.Object{Name: name}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return o, fault.Wrap(err, fault.PlatformUnavailable, "response for "+name+" is incomplete")
	}
	if len(value) > MaxValueBytes {
		return o, fault.Newf(fault.PlatformUnavailable, "object %q is larger than %d bytes", name, MaxValueBytes)
	}
	o.Version, err = parseVersion(resp.Header)
	if err != nil {
		return o, fault.Wrap(err, fault.PlatformUnavailable, "response for "+name)
	}
	o.Value = value
	return o, nil
}

func parseVersion(h http.Header) (uint64, error) {
	tag := h.Get("ETag")
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, errors.Errorf("ETag %q is not a version in double quotes", tag)
	}
	return v, nil
}

func errorText(resp *http.Response) string {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // best effort, for the error message only
	return strings.TrimSpace(string(b))
}

// Put writes o if the version of the stored object is still o.Version, and returns o with its new version. It makes one
// attempt.
func (c *Client) Put(ctx context.Context, o mustardmast.Object) (_ mustardmast.Object, err error) {
	if len(o.Value) > MaxValueBytes {
		return o, fault.Newf(fault.BadRequest, "object %q has %d bytes; allowed: at most %d", o.Name, len(o.Value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.s.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := c.request(ctx, http.MethodPut, o.Name, nil, string(o.Value))
	if err != nil {
		return o, err
	}
	req.Header.Set("If-Match", fmt.Sprintf("%q", strconv.FormatUint(o.Version, 10)))
	defer func() { c.s.Meter.RecordCall(OpPut, fault.KindOf(err), len(o.Value)) }()
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return o, fault.Wrap(err, fault.PlatformUnavailable, "write of "+o.Name+" was not sent")
	}
	if err != nil {
		return o, fault.Wrap(err, fault.WriteUnknown, "response to the write of "+o.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	return parseWriteResponse(o, resp)
}

// parseWriteResponse parses the response to a write. A status that the protocol does not define leaves the outcome of
// the write unknown.
func parseWriteResponse(o mustardmast.Object, resp *http.Response) (mustardmast.Object, error) {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		v, err := parseVersion(resp.Header)
		if err != nil {
			return o, fault.Wrap(err, fault.WriteUnknown, "response to the write of "+o.Name)
		}
		o.Version = v
		return o, nil
	case http.StatusPreconditionFailed:
		return o, fault.Newf(fault.Conflict, "object %q no longer has version %d", o.Name, o.Version)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return o, fault.Newf(fault.PlatformUnavailable, "write of %s failed with status %s", o.Name, resp.Status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusNotFound, http.StatusForbidden:
		return o, fault.Newf(fault.BadRequest, "write of %s failed with status %s: %s", o.Name, resp.Status, errorText(resp))
	default:
		return o, fault.Newf(fault.WriteUnknown, "write of %s got the unexpected status %s", o.Name, resp.Status)
	}
}

func (c *Client) request(ctx context.Context, method, name string, q url.Values, body string) (*http.Request, error) {
	u := c.base.JoinPath("v1", "objects", name)
	u.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), strings.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "object name "+name)
	}
	return req, nil
}
