package client

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/retry"
	"mustardmast/io/header"
)

// Request is a request to a service. Service and Method are required.
type Request struct {
	Service, Method string
	Idempotent      bool   // as in the configuration; a node rejects true for a method that is not idempotent
	ID              string // of an earlier request that is retried; empty for a new request
	Backer          string
	Priority        string // critical, high, normal or low; empty for that of the method
	Header          http.Header

	Body    []byte
	GetBody func() (io.ReadCloser, error) // replaces Body; called once per send
	Length  int64                         // of the bodies that GetBody returns; 0 if unknown

	// Parent holds the headers of the request that a target is serving, if this is a sub-call. CallKey is the target's
	// stable name for the sub-call and is required unless the sub-call is idempotent.
	Parent  http.Header
	CallKey string
	Budget  *retry.Budget // shared by the sub-calls of one request, see BudgetOf; a sub-call without one is not retried

	Attempts int // number of earlier sends with ID, from Error.Attempts
}

// Response is a complete response. The request was executed; an error status is the target's own.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	ID     string
}

func (r *Request) body() (io.ReadCloser, int64, error) {
	if r.GetBody != nil {
		b, err := r.GetBody()
		length := r.Length
		if length == 0 {
			length = -1
		}
		return b, length, err
	}
	if len(r.Body) == 0 {
		return http.NoBody, 0, nil
	}
	return io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body)), nil
}

// parentID returns the id that the request inherits as a sub-call.
func (r *Request) parentID() string { return r.Parent.Get(header.RequestID) }

// matchesID reports whether a response with the given id belongs to the request that was sent with the id sent. A node
// extends the id of a sub-call by its call key.
func (r *Request) matchesID(sent, id string) bool {
	return id == sent || r.CallKey != "" && r.parentID() == sent && id == sent+"/"+r.CallKey
}

// inheritedHeaders are copied from the request that a target is serving to its sub-calls.
var inheritedHeaders = []string{header.Priority, header.Backer, header.Depth, header.Path}

// headers returns the headers of one send. It parses them with the codec that nodes use, so that an invalid value is
// detected before anything is sent.
func (r *Request) headers(now, deadline time.Time, params sendParams, backer string) (http.Header, error) {
	h := http.Header{}
	for k, v := range r.Header {
		if !strings.HasPrefix(http.CanonicalHeaderKey(k), header.Prefix) {
			h[k] = append([]string(nil), v...)
		}
	}
	set := func(name string, values ...string) {
		for _, v := range values {
			if v != "" {
				h.Set(name, v)
				return
			}
		}
	}
	for _, name := range inheritedHeaders {
		set(name, r.Parent.Get(name))
	}
	set(header.RequestID, params.id)
	set(header.CallKey, r.CallKey)
	set(header.Backer, r.Backer, r.Parent.Get(header.Backer), backer)
	set(header.Priority, r.Priority, r.Parent.Get(header.Priority))
	set(header.Attempt, strconv.Itoa(params.attempt))
	set(header.RetryBudget, strconv.Itoa(params.budget))
	set(header.DeadlineMS, strconv.FormatInt(deadline.Sub(now).Milliseconds(), 10))
	if err := header.ReadCall(h, now, &call.Spec{}); err != nil {
		return nil, err
	}
	return h, nil
}

// sendParams are the parameters that differ between the sends of a request.
type sendParams struct {
	id      string
	attempt int
	budget  int
}

// BudgetOf returns the retry budget of the request with the given headers, for the sub-calls that are made to serve it.
// All of these sub-calls must share the Budget.
func BudgetOf(parent http.Header) *retry.Budget {
	n, err := strconv.Atoi(parent.Get(header.RetryBudget))
	if err != nil || n > call.MaxRetries {
		n = 0
	}
	return retry.NewBudget(n)
}

// path returns the URL path of the request.
func (r *Request) path() (string, error) {
	for _, name := range []string{r.Service, r.Method} {
		if name == "" || len(name) > call.MaxNameLength || url.PathEscape(name) != name || name == "." || name == ".." {
			return "", fault.Newf(fault.BadRequest, "service or method name %q; allowed: 1 to %d letters, digits, - _ .",
				name, call.MaxNameLength)
		}
	}
	return "/" + r.Service + "/" + r.Method, nil
}
