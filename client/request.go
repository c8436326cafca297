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

// Request is one request. Service and Method are needed.
type Request struct {
	Service, Method string
	Idempotent      bool   // as the configuration says; a wrong true is refused by the node
	ID              string // to send an earlier request again; empty for a new one
	Backer          string
	Priority        string // critical, high, normal or low; empty for the method's own
	Header          http.Header

	Body    []byte
	GetBody func() (io.ReadCloser, error) // instead of Body; called once per send
	Length  int64                         // of GetBody's bodies, 0 if unknown

	// Parent has the headers of the request that a target works on, if this is a sub-call. CallKey is the target's
	// stable name for the sub-call; a sub-call that is not idempotent needs one.
	Parent  http.Header
	CallKey string
	Budget  *retry.Budget // shared by the sub-calls of one request, see BudgetOf; a sub-call without one is not retried

	Attempts int // sends made with ID before, as told by Error.Attempts
}

// Response is a complete response. A status that says failure is the target's own: the request was executed.
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

// sameID reports whether an answer with id answers the request that was sent with sent. A node extends the id of a
// sub-call by its call key.
func (r *Request) sameID(sent, id string) bool {
	return id == sent || r.CallKey != "" && r.parentID() == sent && id == sent+"/"+r.CallKey
}

// inherited headers pass from the request that a target works on to its sub-calls.
var inherited = []string{header.Priority, header.Backer, header.Depth, header.Path}

// headers returns the headers of one send. They are read back with the nodes' own codec, so that a bad value is found
// before anything is sent.
func (r *Request) headers(now, deadline time.Time, s sent, backer string) (http.Header, error) {
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
	for _, name := range inherited {
		set(name, r.Parent.Get(name))
	}
	set(header.RequestID, s.id)
	set(header.CallKey, r.CallKey)
	set(header.Backer, r.Backer, r.Parent.Get(header.Backer), backer)
	set(header.Priority, r.Priority, r.Parent.Get(header.Priority))
	set(header.Attempt, strconv.Itoa(s.attempt))
	set(header.RetryBudget, strconv.Itoa(s.budget))
	set(header.DeadlineMS, strconv.FormatInt(deadline.Sub(now).Milliseconds(), 10))
	if err := header.ReadCall(h, now, &call.Spec{}); err != nil {
		return nil, err
	}
	return h, nil
}

// sent is what differs between the sends of one request.
type sent struct {
	id      string
	attempt int
	budget  int
}

// BudgetOf returns the retry budget of the request with these headers, for the sub-calls that are made to serve it.
// All of them must use the same Budget.
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
			return "", fault.Newf(fault.BadRequest, "service or method %q; allowed: 1 to %d letters, digits, - _ .",
				name, call.MaxNameLength)
		}
	}
	return "/" + r.Service + "/" + r.Method, nil
}
