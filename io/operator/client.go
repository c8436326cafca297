package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"mustardmast/core/fault"
	"mustardmast/io/orderly"
	"mustardmast/io/rawhead"
	"mustardmast/io/strict"
)

// DefaultTimeout is the time limit of a request to a node.
const DefaultTimeout = 3 * time.Second

const maxResponseBytes = 8 << 20

// Client is a client of the admin interface of one node. It is safe for concurrent use.
type Client struct {
	address string
	base    *url.URL
	http    *http.Client
}

// NewClient returns a client for an admin address, which is host:port or a URL.
func NewClient(address string, timeout time.Duration) (*Client, error) {
	rawURL := address
	if !strings.Contains(rawURL, "://") {
		rawURL = "http://" + rawURL
	}
	base, err := url.Parse(rawURL)
	if err != nil || base.Host == "" {
		return nil, fault.Newf(fault.BadRequest, "admin address %q; allowed: host:port or http://host:port", address)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil // nodes are reached directly
	transport.DialContext = orderly.Dial(transport.DialContext)
	c := &http.Client{Timeout: timeout, Transport: strict.New(transport, rawhead.MaxInterim)}
	return &Client{address: address, base: base, http: c}, nil
}

// Address returns the address that was passed to NewClient.
func (c *Client) Address() string { return c.address }

// Status returns the status of the node. Services are sorted by name.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return c.readStatus(ctx, http.MethodGet, "/v1/status")
}

// Drain drains the node's target and returns the status after that.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	return c.readStatus(ctx, http.MethodPost, "/v1/drain")
}

func (c *Client) readStatus(ctx context.Context, method, path string) (Status, error) {
	var w wireStatus
	if err := c.call(ctx, method, path, nil, nil, &w); err != nil {
		return Status{}, err
	}
	s, err := statusFromWire(w)
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	return s, err
}

// Explain returns the events that the node recorded about a request. The error kind is not-found if there are none.
func (c *Client) Explain(ctx context.Context, requestID string) (Explanation, error) {
	var w wireExplanation
	err := c.call(ctx, http.MethodGet, "/v1/explain", url.Values{"id": {requestID}}, nil, &w)
	return explanationFromWire(w), err
}

// Quarantined lists the suspect and quarantined fingerprints of the node.
func (c *Client) Quarantined(ctx context.Context) ([]Quarantined, error) {
	var w []wireQuarantined
	err := c.call(ctx, http.MethodGet, "/v1/quarantine", nil, nil, &w)
	return quarantinedFromWire(w), err
}

// ClearQuarantine removes the fingerprint, or all if it is empty, and returns the number removed.
func (c *Client) ClearQuarantine(ctx context.Context, fingerprint string) (int, error) {
	q := url.Values{}
	if fingerprint != "" {
		q.Set("fingerprint", fingerprint)
	}
	var w wireClearResponse
	err := c.call(ctx, http.MethodDelete, "/v1/quarantine", q, nil, &w)
	return w.Cleared, err
}

// Announce announces a target and returns the interval at which the announcement must be repeated.
func (c *Client) Announce(ctx context.Context, a Announcement) (time.Duration, error) {
	var w wireAnnounceResponse
	err := c.call(ctx, http.MethodPost, "/v1/targets", nil, announcementToWire(a), &w)
	return time.Duration(w.HeartbeatMS) * time.Millisecond, err
}

// call sends a request and decodes the JSON response. A node that cannot be reached gives the error kind
// peer-unreachable.
func (c *Client) call(ctx context.Context, method, path string, q url.Values, body, response any) error {
	u := c.base.JoinPath(path)
	u.RawQuery = q.Encode()
	var in bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&in).Encode(body); err != nil {
			return fault.Wrap(err, fault.Internal, "request to "+c.address)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), &in)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "request to "+c.address)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.PeerUnreachable, "node "+c.address)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(err, fault.AnswerCut, "node "+c.address)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errorFromResponse(c.address, resp, out)
	}
	if err := json.Unmarshal(out, response); err != nil {
		return fault.Wrap(err, fault.Internal, "response of node "+c.address)
	}
	return nil
}

// errorFromResponse decodes the error of a response that is not successful.
func errorFromResponse(address string, resp *http.Response, body []byte) error {
	var w struct {
		Error  string `json:"error"`
		Detail string `json:"detail"`
	}
	_ = json.Unmarshal(body, &w) // a body that is not JSON gives the kind internal
	k, ok := fault.ParseKind(w.Error)
	if !ok {
		return fault.Newf(fault.Internal, "node %s responded with status %s", address, resp.Status)
	}
	return fault.Newf(k, "node %s: %s", address, w.Detail)
}
