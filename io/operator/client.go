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
)

// DefaultTimeout is the time limit of one request to a node.
const DefaultTimeout = 3 * time.Second

const maxResponse = 8 << 20

// Client asks one node. It is safe for concurrent use.
type Client struct {
	address string
	base    *url.URL
	http    *http.Client
}

// NewClient returns a client for an admin address, which is host:port or a URL.
func NewClient(address string, timeout time.Duration) (*Client, error) {
	full := address
	if !strings.Contains(full, "://") {
		full = "http://" + full
	}
	base, err := url.Parse(full)
	if err != nil || base.Host == "" {
		return nil, fault.Newf(fault.BadRequest, "admin address %q; allowed: host:port or http://host:port", address)
	}
	own := http.DefaultTransport.(*http.Transport).Clone()
	own.Proxy = nil // nodes are addressed directly
	return &Client{address: address, base: base, http: &http.Client{Timeout: timeout, Transport: own}}, nil
}

// Address returns the address that the client was made for.
func (c *Client) Address() string { return c.address }

// Status returns the node's state. Services are sorted by name.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return c.readStatus(ctx, http.MethodGet, "/v1/status")
}

// Drain makes the node's target leave and returns the state after that.
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

// Explain returns what the node knows of a request; an error of kind not-found means nothing.
func (c *Client) Explain(ctx context.Context, requestID string) (Explanation, error) {
	var w wireExplanation
	err := c.call(ctx, http.MethodGet, "/v1/explain", url.Values{"id": {requestID}}, nil, &w)
	return explanationFromWire(w), err
}

// Quarantined lists the fingerprints that the node holds.
func (c *Client) Quarantined(ctx context.Context) ([]Quarantined, error) {
	var w []wireQuarantined
	err := c.call(ctx, http.MethodGet, "/v1/quarantine", nil, nil, &w)
	return quarantinedFromWire(w), err
}

// ClearQuarantine removes one fingerprint, or all if it is empty, and returns how many were removed.
func (c *Client) ClearQuarantine(ctx context.Context, fingerprint string) (int, error) {
	q := url.Values{}
	if fingerprint != "" {
		q.Set("fingerprint", fingerprint)
	}
	var w wireCleared
	err := c.call(ctx, http.MethodDelete, "/v1/quarantine", q, nil, &w)
	return w.Cleared, err
}

// Announce announces a target and returns the period after which to announce it again.
func (c *Client) Announce(ctx context.Context, a Announcement) (time.Duration, error) {
	var w wireAnnounced
	err := c.call(ctx, http.MethodPost, "/v1/targets", nil, announcementToWire(a), &w)
	return time.Duration(w.HeartbeatMS) * time.Millisecond, err
}

// call makes one request. Failures to reach the node have the kind peer-unreachable.
func (c *Client) call(ctx context.Context, method, path string, q url.Values, body, to any) error {
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
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return fault.Wrap(err, fault.AnswerCut, "node "+c.address)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusal(c.address, resp, out)
	}
	if err := json.Unmarshal(out, to); err != nil {
		return fault.Wrap(err, fault.Internal, "response of node "+c.address)
	}
	return nil
}

func refusal(address string, resp *http.Response, body []byte) error {
	var w struct {
		Error  string `json:"error"`
		Detail string `json:"detail"`
	}
	_ = json.Unmarshal(body, &w) // a body that is no JSON leaves the kind internal
	k, ok := fault.ParseKind(w.Error)
	if !ok {
		return fault.Newf(fault.Internal, "node %s answered %s", address, resp.Status)
	}
	return fault.Newf(k, "node %s: %s", address, w.Detail)
}
