// Package platform is the client of the platform's object API, which docs/platform-api.md defines.
//
// The API is shared by everybody and answers a limited number of calls a second, so the client counts every call and
// every waiting watch, retries reads only and only a bounded number of times, and never repeats a write. A write
// whose response is lost is reported as write-unknown; package io/store finds out what became of it. Only a failure
// that comes before a connection existed, or a response that states it, is reported as platform-unavailable.
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
)

// MaxValueBytes is the largest value of an object in bytes.
const MaxValueBytes = 1_000_000

// Defaults of Settings.
const (
	DefaultTimeout  = 5 * time.Second
	DefaultPollWait = 25 * time.Second // below the minute after which many middle boxes drop idle connections
	DefaultAttempts = 3
	DefaultBackoff  = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// Settings are the parts of a Client by name. Zero values take the defaults.
type Settings struct {
	URL       string // for example http://10.0.0.1:7000
	Timeout   time.Duration
	PollWait  time.Duration // longest wait of one watch call
	Attempts  int           // of one read
	Backoff   time.Duration // before the second attempt of a read; doubles, with full jitter
	Rand      *rand.Rand    // source of the jitter
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

// New returns a client.
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
		own := http.DefaultTransport.(*http.Transport).Clone()
		own.Proxy = nil // the platform is addressed directly
		s.Transport = own
	}
	// A redirect is not followed, because it would send a write twice.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{s: s, base: base, http: &http.Client{Transport: s.Transport, CheckRedirect: stay}, wait: sleep}, nil
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, name string) (mustardmast.Object, error) {
	o, _, err := c.read(ctx, OpGet, name, nil, c.s.Timeout)
	return o, err
}

// Watch waits until the object's version differs from after, in calls that each wait at most Settings.PollWait. An
// object that does not exist has version 0.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (mustardmast.Object, error) {
	q := url.Values{"watch": {strconv.FormatUint(after, 10)}, "wait-ms": {strconv.FormatInt(c.s.PollWait.Milliseconds(), 10)}}
	for {
		o, changed, err := c.read(ctx, OpWatch, name, q, c.s.PollWait+c.s.Timeout)
		if err != nil || changed {
			return o, err
		}
	}
}

// read makes one read and repeats it while the platform is unavailable.
func (c *Client) read(ctx context.Context, op Op, name string, q url.Values, timeout time.Duration) (o mustardmast.Object, changed bool, err error) {
	for attempt := 1; ; attempt++ {
		o, changed, err = c.once(ctx, op, name, q, timeout)
		if fault.KindOf(err) != fault.PlatformUnavailable || attempt >= c.s.Attempts || ctx.Err() != nil {
			return o, changed, err
		}
		if c.wait(ctx, c.pause(attempt)) != nil {
			return o, changed, err
		}
	}
}

func (c *Client) pause(attempt int) time.Duration {
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

func (c *Client) once(ctx context.Context, op Op, name string, q url.Values, timeout time.Duration) (o mustardmast.Object, changed bool, err error) {
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
		o, err = object(name, resp)
		return o, err == nil, err
	case resp.StatusCode == http.StatusNotModified && op == OpWatch:
		return o, false, nil
	case resp.StatusCode == http.StatusNotFound:
		return o, false, fault.Newf(fault.NotFound, "object %q", name)
	case resp.StatusCode >= http.StatusInternalServerError, resp.StatusCode == http.StatusTooManyRequests:
		return o, false, fault.Newf(fault.PlatformUnavailable, "read of %s was answered %s", name, resp.Status)
	default:
		return o, false, fault.Newf(fault.BadRequest, "read of %s was answered %s: %s", name, resp.Status, message(resp))
	}
}

func object(name string, resp *http.Response) (mustardmast.Object, error) {
	o := mustardmast.Object{Name: name}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return o, fault.Wrap(err, fault.PlatformUnavailable, "response for "+name+" broke off")
	}
	if len(value) > MaxValueBytes {
		return o, fault.Newf(fault.PlatformUnavailable, "object %q is larger than %d bytes", name, MaxValueBytes)
	}
	o.Version, err = version(resp.Header)
	if err != nil {
		return o, fault.Wrap(err, fault.PlatformUnavailable, "response for "+name)
	}
	o.Value = value
	return o, nil
}

func version(h http.Header) (uint64, error) {
	tag := h.Get("ETag")
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, errors.Errorf("ETag %q is not a version in double quotes", tag)
	}
	return v, nil
}

func message(resp *http.Response) string {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // only for the message
	return strings.TrimSpace(string(b))
}

// Put writes o if the object's version is still o.Version. It makes one attempt.
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
	return written(o, resp)
}

// written reads the response to a write. Statuses that the protocol does not list are no statement about the write.
func written(o mustardmast.Object, resp *http.Response) (mustardmast.Object, error) {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		v, err := version(resp.Header)
		if err != nil {
			return o, fault.Wrap(err, fault.WriteUnknown, "response to the write of "+o.Name)
		}
		o.Version = v
		return o, nil
	case http.StatusPreconditionFailed:
		return o, fault.Newf(fault.Conflict, "object %q no longer has version %d", o.Name, o.Version)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return o, fault.Newf(fault.PlatformUnavailable, "write of %s was answered %s", o.Name, resp.Status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusNotFound, http.StatusForbidden:
		return o, fault.Newf(fault.BadRequest, "write of %s was answered %s: %s", o.Name, resp.Status, message(resp))
	default:
		return o, fault.Newf(fault.WriteUnknown, "write of %s was answered %s", o.Name, resp.Status)
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
