package client_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"mustardmast/client"
	"mustardmast/core/fault"
	"mustardmast/io/header"
)

// node is a test server in place of a node. It issues ids, and responds to the first call with the first handler, to
// the second call with the second one, and so on; the last handler serves all further calls.
type node struct {
	*httptest.Server
	mu       sync.Mutex
	issued   int
	headers  []http.Header
	bodies   []string
	handlers []http.HandlerFunc
}

func newNode(t testing.TB, responses ...http.HandlerFunc) *node {
	n := &node{handlers: responses}
	n.Server = httptest.NewServer(n)
	t.Cleanup(n.Close)
	return n
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	if r.URL.Path == client.IDsPath {
		n.issued++
		fmt.Fprintf(w, `{"request-ids":["%s-%d"]}`, strings.Replace(r.Host, ":", "-", 1), n.issued)
		n.mu.Unlock()
		return
	}
	body, _ := io.ReadAll(r.Body)
	n.headers, n.bodies = append(n.headers, r.Header.Clone()), append(n.bodies, string(body))
	handler := n.handlers[min(len(n.headers), len(n.handlers))-1]
	n.mu.Unlock()
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	handler(w, r)
}

// receivedHeaders returns the headers of the calls. The lock is needed because a handler that hijacked its connection
// does not synchronize with the end of the call.
func (n *node) receivedHeaders() []http.Header {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.headers
}

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(header.Outcome, fault.Executed.String())
	fmt.Fprint(w, "done")
}

func reject(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RetryBudget, r.Header.Get(header.RetryBudget))
	header.WriteError(w, r.Header.Get(header.RequestID), fault.New(fault.TargetRefused, "no room").WithRetryAfter(time.Millisecond))
}

func hangUp(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.Close()
}

func rawResponse(s string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMustardmast-Outcome: executed\r\nMustardmast-Request-Id: %s\r\n%s",
			r.Header.Get(header.RequestID), s)
		c.Close()
	}
}

func do(t testing.TB, s client.Settings, idempotent bool, nodes ...*node) (*client.Response, *client.Error) {
	for _, n := range nodes {
		s.Addresses = append(s.Addresses, n.URL)
	}
	c, err := client.New(s)
	assert.NilError(t, err)
	res, err := c.Do(context.Background(), client.Request{
		Service: "unplug-desk", Method: "unplug", Idempotent: idempotent, Backer: "acme", Priority: "critical", Body: []byte("socket 7")})
	var e *client.Error
	assert.Assert(t, err == nil || errors.As(err, &e))
	return res, e
}

// Guards against a retry with another id, without the body, or with more time or retry budget than is left.
func TestRetryIsTheSameRequest(t *testing.T) {
	n := newNode(t, reject, ok)
	res, e := do(t, client.Settings{}, false, n)
	assert.Assert(t, e == nil, "%v", e)
	assert.Equal(t, string(res.Body), "done")
	assert.Equal(t, len(n.receivedHeaders()), 2)
	first, second := n.receivedHeaders()[0], n.receivedHeaders()[1]
	for _, h := range []string{header.RequestID, header.Backer, header.Priority} {
		assert.Assert(t, first.Get(h) != "")
		assert.Equal(t, first.Get(h), second.Get(h), h)
	}
	assert.DeepEqual(t, n.bodies, []string{"socket 7", "socket 7"})
	assert.Equal(t, second.Get(header.Attempt), "2")
	assert.Equal(t, first.Get(header.RetryBudget), "2")
	assert.Equal(t, second.Get(header.RetryBudget), "1")
	before, _ := strconv.Atoi(first.Get(header.DeadlineMS))
	after, _ := strconv.Atoi(second.Get(header.DeadlineMS))
	assert.Assert(t, 0 < after && after < before, "%d ms, then %d ms", before, after)
}

// Guards against a retry of a non-idempotent request that may have run, and against reporting that it did not run.
func TestUnknownOutcome(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		n := newNode(t, hangUp, ok)
		res, e := do(t, client.Settings{}, idempotent, n)
		if idempotent {
			assert.Assert(t, e == nil && len(n.receivedHeaders()) == 2 && res.Status == http.StatusOK, "%v", e)
			continue
		}
		assert.Equal(t, len(n.receivedHeaders()), 1)
		assert.Equal(t, e.Kind(), fault.PeerLost)
		assert.Equal(t, e.Outcome(), fault.Unknown)
		assert.Equal(t, e.Advice(), client.SendSameID)
		assert.Equal(t, e.ID(), n.receivedHeaders()[0].Get(header.RequestID))
	}
}

// Guards against the outcome not-executed for a request of which an earlier send may have run.
func TestLastRejectionKeepsUnknownOutcome(t *testing.T) {
	n := newNode(t, hangUp, reject)
	_, e := do(t, client.Settings{}, true, n)
	assert.Equal(t, e.Kind(), fault.TargetRefused)
	assert.Equal(t, e.Outcome(), fault.Unknown)
}

// Guards against a truncated body that is accepted as complete, and against the response to another request.
func TestInvalidResponses(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		kind    fault.Kind
	}{
		"length":  {rawResponse("Content-Length: 100\r\n\r\nhalf"), fault.AnswerCut},
		"chunked": {rawResponse("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), fault.AnswerCut},
		"no end":  {rawResponse("Connection: close\r\n\r\nhalf"), fault.AnswerCut},
		"crossed": {func(w http.ResponseWriter, r *http.Request) { w.Header().Set(header.RequestID, "other"); ok(w, r) }, fault.Internal},
		"foreign": {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "welcome") }, fault.Internal},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, fault.Internal},
	} {
		n := newNode(t, c.handler)
		res, e := do(t, client.Settings{}, false, n)
		assert.Assert(t, res == nil && e != nil, name)
		assert.Equal(t, e.Kind(), c.kind, name)
		assert.Equal(t, e.Outcome(), fault.Unknown, name)
		assert.Equal(t, len(n.receivedHeaders()), 1, name)
	}
}

// Guards against a request that is not sent through another node when its node is down, or that keeps the id which that
// node issued.
func TestFailover(t *testing.T) {
	down, up := newNode(t, ok), newNode(t, ok)
	down.Close()
	for _, idempotent := range []bool{false, true} {
		_, e := do(t, client.Settings{}, idempotent, down, up)
		assert.Assert(t, e == nil, "%v", e)
	}
	_, e := do(t, client.Settings{RetryBudget: -1}, false, down)
	assert.Equal(t, e.Kind(), fault.PeerUnreachable)
	assert.Equal(t, e.Outcome(), fault.NotExecuted)
	assert.Equal(t, e.Attempts(), 0)
}

// Guards against hedging by default, and against hedging of requests that are not idempotent.
func TestHedging(t *testing.T) {
	for _, c := range []struct {
		after      time.Duration
		idempotent bool
		sends      int
	}{{0, true, 1}, {5 * time.Millisecond, false, 1}, {5 * time.Millisecond, true, 2}} {
		slow := func(w http.ResponseWriter, r *http.Request) { time.Sleep(100 * time.Millisecond); ok(w, r) }
		n := newNode(t, slow, ok)
		_, e := do(t, client.Settings{HedgeAfter: c.after}, c.idempotent, n)
		assert.Assert(t, e == nil, "%v", e)
		assert.Equal(t, len(n.receivedHeaders()), c.sends)
	}
}

// Guards against a sub-call without the chain headers of its parent, or with more retry budget than its parent.
func TestSubCallInheritsChainHeaders(t *testing.T) {
	n := newNode(t, reject)
	c, err := client.New(client.Settings{Addresses: []string{n.URL}})
	assert.NilError(t, err)
	parent := http.Header{}
	for k, v := range map[string]string{header.RequestID: "root-1", header.Depth: "2", header.Path: "desk",
		header.RetryBudget: "1", header.Backer: "acme", header.Incarnation: "77"} {
		parent.Set(k, v)
	}
	_, err = c.Do(context.Background(), client.Request{Service: "plug-ledger", Method: "add", Parent: parent, CallKey: "k1",
		Budget: client.BudgetOf(parent)})
	assert.ErrorContains(t, err, "no room")
	assert.Assert(t, len(n.receivedHeaders()) <= 2)
	for k, v := range map[string]string{header.RequestID: "root-1", header.Depth: "2", header.Path: "desk",
		header.Backer: "acme", header.CallKey: "k1", header.Incarnation: "", header.RetryBudget: "1"} {
		assert.Equal(t, n.receivedHeaders()[0].Get(k), v, k)
	}
}

// Guards against a value that injects a header, and against a service or method name that changes the URL path.
func TestInvalidValuesAreNotSent(t *testing.T) {
	n := newNode(t, ok)
	c, err := client.New(client.Settings{Addresses: []string{n.URL}})
	assert.NilError(t, err)
	for _, r := range []client.Request{
		{Service: "a", Method: "b", Backer: "x\r\ny: z"}, {Service: "a", Method: "b", Priority: "urgent"},
		{Service: "..", Method: "b"}, {Service: "a", Method: "b/c"}, {Service: "a", Method: ""},
	} {
		_, err := c.Do(context.Background(), r)
		var e *client.Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Advice(), client.FixRequest, "%v", err)
	}
	assert.Equal(t, len(n.receivedHeaders()), 0)
}

func ExampleClient() {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == client.IDsPath {
			fmt.Fprint(w, `{"request-ids":["5f0c-1"]}`)
			return
		}
		id := r.Header.Get(header.RequestID)
		if r.URL.Path == "/unplug-desk/unplug" {
			w.Header().Set(header.RequestID, id)
			w.Header().Set(header.Outcome, "executed")
			fmt.Fprint(w, "unplugged by ", id)
			return
		}
		header.WriteError(w, id, fault.New(fault.UnknownService, r.URL.Path))
	}))
	defer node.Close()
	c, err := client.New(client.Settings{Addresses: []string{node.URL}, Backer: "luka-koper"})
	if err != nil {
		fmt.Println(err)
		return
	}
	res, err := c.Do(context.Background(), client.Request{Service: "unplug-desk", Method: "unplug", Body: []byte("socket 7")})
	fmt.Println(string(res.Body), err)
	_, err = c.Do(context.Background(), client.Request{Service: "gallery", Method: "show", Idempotent: true, ID: "view-1"})
	var e *client.Error
	if errors.As(err, &e) {
		fmt.Println(e.Kind(), e.Advice())
	}
	// Output:
	// unplugged by 5f0c-1 <nil>
	// unknown-service fix-request
}
