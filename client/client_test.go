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

// node is a stand-in for a node: it issues ids and answers calls by the steps, the last one repeatedly.
type node struct {
	*httptest.Server
	mu      sync.Mutex
	issued  int
	calls   []http.Header
	bodies  []string
	handler []http.HandlerFunc
}

func newNode(t testing.TB, steps ...http.HandlerFunc) *node {
	n := &node{handler: steps}
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
	n.calls, n.bodies = append(n.calls, r.Header.Clone()), append(n.bodies, string(body))
	step := n.handler[min(len(n.calls), len(n.handler))-1]
	n.mu.Unlock()
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	step(w, r)
}

// seen returns the headers of the calls. The lock orders the reads after handlers that took the connection over.
func (n *node) seen() []http.Header {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(header.Outcome, fault.Executed.String())
	fmt.Fprint(w, "done")
}

func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RetryBudget, r.Header.Get(header.RetryBudget))
	header.WriteError(w, r.Header.Get(header.RequestID), fault.New(fault.TargetRefused, "no room").WithRetryAfter(time.Millisecond))
}

func hangUp(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.Close()
}

func raw(s string) http.HandlerFunc {
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

// Guards against a resend with another id, without its body, or with more time or budget than is left.
func TestResendIsTheSameRequest(t *testing.T) {
	n := newNode(t, refuse, ok)
	res, e := do(t, client.Settings{}, false, n)
	assert.Assert(t, e == nil, "%v", e)
	assert.Equal(t, string(res.Body), "done")
	assert.Equal(t, len(n.seen()), 2)
	first, second := n.seen()[0], n.seen()[1]
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

// Guards against sending a request again that may have run, and against telling that it did not run.
func TestUnknownOutcome(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		n := newNode(t, hangUp, ok)
		res, e := do(t, client.Settings{}, idempotent, n)
		if idempotent {
			assert.Assert(t, e == nil && len(n.seen()) == 2 && res.Status == http.StatusOK, "%v", e)
			continue
		}
		assert.Equal(t, len(n.seen()), 1)
		assert.Equal(t, e.Kind(), fault.PeerLost)
		assert.Equal(t, e.Outcome(), fault.Unknown)
		assert.Equal(t, e.Advice(), client.SendSameID)
		assert.Equal(t, e.ID(), n.seen()[0].Get(header.RequestID))
	}
}

// Guards against "not executed" about a request of which an earlier send may have run.
func TestLastRefusalSaysNothingAboutEarlierSends(t *testing.T) {
	n := newNode(t, hangUp, refuse)
	_, e := do(t, client.Settings{}, true, n)
	assert.Equal(t, e.Kind(), fault.TargetRefused)
	assert.Equal(t, e.Outcome(), fault.Unknown)
}

// Guards against a part of a body that is taken for the whole, and an answer that belongs to another request.
func TestDamagedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		step http.HandlerFunc
		kind fault.Kind
	}{
		"length":  {raw("Content-Length: 100\r\n\r\nhalf"), fault.AnswerCut},
		"chunked": {raw("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), fault.AnswerCut},
		"no end":  {raw("Connection: close\r\n\r\nhalf"), fault.AnswerCut},
		"crossed": {func(w http.ResponseWriter, r *http.Request) { w.Header().Set(header.RequestID, "other"); ok(w, r) }, fault.Internal},
		"foreign": {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "welcome") }, fault.Internal},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, fault.Internal},
	} {
		n := newNode(t, c.step)
		res, e := do(t, client.Settings{}, false, n)
		assert.Assert(t, res == nil && e != nil, name)
		assert.Equal(t, e.Kind(), c.kind, name)
		assert.Equal(t, e.Outcome(), fault.Unknown, name)
		assert.Equal(t, len(n.seen()), 1, name)
	}
}

// Guards against a request that stays with a node that is gone, or keeps the id that such a node issued.
func TestFailover(t *testing.T) {
	gone, there := newNode(t, ok), newNode(t, ok)
	gone.Close()
	for _, idempotent := range []bool{false, true} {
		_, e := do(t, client.Settings{}, idempotent, gone, there)
		assert.Assert(t, e == nil, "%v", e)
	}
	_, e := do(t, client.Settings{RetryBudget: -1}, false, gone)
	assert.Equal(t, e.Kind(), fault.PeerUnreachable)
	assert.Equal(t, e.Outcome(), fault.NotExecuted)
	assert.Equal(t, e.Attempts(), 0)
}

// Guards against hedging that is on by default, or that repeats a request that is not idempotent.
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
		assert.Equal(t, len(n.seen()), c.sends)
	}
}

// Guards against a sub-call that loses its place in the chain or creates budget.
func TestSubCallInheritsTheChain(t *testing.T) {
	n := newNode(t, refuse)
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
	assert.Assert(t, len(n.seen()) <= 2)
	for k, v := range map[string]string{header.RequestID: "root-1", header.Depth: "2", header.Path: "desk",
		header.Backer: "acme", header.CallKey: "k1", header.Incarnation: "", header.RetryBudget: "1"} {
		assert.Equal(t, n.seen()[0].Get(k), v, k)
	}
}

// Guards against a header value that starts another header, or a name that leads to another path.
func TestBadValuesAreNotSent(t *testing.T) {
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
	assert.Equal(t, len(n.seen()), 0)
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
