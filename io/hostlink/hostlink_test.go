package hostlink_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
)

// node is an executor and a gossip whose answers a test sets.
type node struct {
	execute func(ctx context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error)
	news    hostlink.News
	report  mustardmast.TargetReport
}

func (n *node) Execute(ctx context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	r, err := n.execute(ctx, c)
	return r, n.report, err
}

func (n *node) Exchange(in hostlink.News) hostlink.News {
	n.news.Left = in.Left
	return n.news
}

func (n *node) Document() []byte { return []byte("document") }

func serve(t *testing.T, n *node) (string, *hostlink.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := hostlink.NewServer(n, n).HTTP()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1))
	t.Cleanup(c.Close)
	return l.Addr().String(), c
}

func call() *mustardmast.TargetCall {
	return &mustardmast.TargetCall{
		ID: "a.b", Service: "watch", Route: "q.example/x/", Version: 7, Entry: "h1", Method: "PATCH", URI: "/x/%2f?q=1", Host: "q.example",
		Header: http.Header{"Accept": {"*/*"}}, Priority: 2, Rank: 1, Kept: 0.25, Repeatable: true, Inner: true, Repeat: true, Offered: true,
		Deadline: time.Now().Add(2 * time.Second), Hold: 30 * time.Millisecond,
	}
}

// Guards against a field of a call, a reply or a report that another node reads as something else.
func TestACallArrivesAsItWasSent(t *testing.T) {
	sent := call()
	sent.Body, sent.Length = strings.NewReader("body"), 4
	report := mustardmast.TargetReport{Ready: true, Service: "watch", Limit: 31, Running: 5, Waiting: 2, Duration: 40 * time.Millisecond, Level: 1.25, Version: 9, Nested: true}
	var got mustardmast.TargetCall
	var body []byte
	address, c := serve(t, &node{report: report, execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		got = *c
		body, _ = io.ReadAll(c.Body)
		return &mustardmast.TargetReply{Status: 201, Header: http.Header{"X-Own": {"1", "2"}}, Length: 5, Body: io.NopCloser(strings.NewReader("reply"))}, nil
	}})
	reply, r, ok, err := c.Execute(context.Background(), address, sent)
	assert.NilError(t, err)
	text, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "reply")
	assert.Equal(t, reply.Status, 201)
	assert.DeepEqual(t, reply.Header["X-Own"], []string{"1", "2"})
	assert.Assert(t, ok)
	assert.DeepEqual(t, r, report)
	assert.Equal(t, string(body), "body")
	assert.Assert(t, sent.Deadline.Sub(got.Deadline).Abs() < 100*time.Millisecond)
	got.Deadline, got.Body, sent.Body = sent.Deadline, nil, nil
	assert.DeepEqual(t, got, *sent)
}

// Guards against texts of clients and operators that end a part of an encoded call early, and against a client or a target
// that uses the names of the link's own fields.
func TestTextsThatLookLikeTheEncoding(t *testing.T) {
	sent := call()
	sent.ID, sent.Route, sent.Service = "a b%20\tc", "h.example/ž /+/", ""
	sent.Header["Mustardmast-Call"] = []string{"1 2 3"}
	var got mustardmast.TargetCall
	address, c := serve(t, &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		got = *c
		header := http.Header{"Mustardmast-Error": {"queue-full not-executed 0 no"}, "Mustardmast-Report": {"x"}}
		return &mustardmast.TargetReply{Status: 200, Header: header, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
	}})
	reply, _, reported, err := c.Execute(context.Background(), address, sent)
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	assert.Assert(t, reported)
	assert.Equal(t, reply.Status, 200)
	assert.Equal(t, got.ID, sent.ID)
	assert.Equal(t, got.Route, sent.Route)
	assert.Equal(t, got.Service, "")
}

// Guards against an outcome that changes on its way: not-executed must stay a promise, and unknown must not become one.
func TestErrorsKeepTheirOutcome(t *testing.T) {
	for _, want := range []*fault.Error{
		fault.New(fault.QueueFull, "would wait").WithRetryAfter(70 * time.Millisecond),
		fault.New(fault.TargetFailed, "reset\nby peer"),
		fault.New(fault.Draining, "").WithOutcome(fault.Unknown),
	} {
		address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) { return nil, want }})
		_, _, _, err := c.Execute(context.Background(), address, call())
		got := fault.From(err)
		assert.Equal(t, got.Kind(), want.Kind())
		assert.Equal(t, got.Outcome(), want.Outcome())
		assert.Equal(t, got.RetryAfter(), want.RetryAfter())
	}
}

// Guards against an answer that breaks off between two nodes looking complete.
func TestAReplyThatBreaksOff(t *testing.T) {
	address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		return &mustardmast.TargetReply{Status: 200, Header: http.Header{}, Length: -1,
			Body: io.NopCloser(io.MultiReader(strings.NewReader("half"), broken{}))}, nil
	}})
	reply, _, _, err := c.Execute(context.Background(), address, call())
	if err == nil {
		_, err = io.ReadAll(reply.Body)
	}
	assert.Assert(t, err != nil)
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }

// Guards against a call to a host that is not there being taken for one that may have run, and the reverse.
func TestHostsThatCannotBeReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1))
	_, _, _, err = c.Execute(context.Background(), l.Addr().String(), call())
	assert.Equal(t, fault.From(err).Kind(), fault.PeerUnreachable)
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)

	address, c := serve(t, &node{execute: func(ctx context.Context, _ *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		<-ctx.Done()
		return nil, fault.New(fault.Canceled, "")
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _, _, err = c.Execute(ctx, address, call())
	assert.Equal(t, fault.From(err).Kind(), fault.DeadlineExceeded)
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
}

// Guards against a connection that goes silent holding calls until their deadlines: the ping ends it.
func TestASilentConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			if _, err := l.Accept(); err != nil { // never read from
				return
			}
		}
	}()
	sent := call()
	sent.Deadline = time.Now().Add(20 * time.Second)
	began := time.Now()
	_, _, _, err = hostlink.NewClient(net.IPv4(127, 0, 0, 1)).Execute(context.Background(), l.Addr().String(), sent)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
}

// countingListener counts what is received on its connections.
type countingListener struct {
	net.Listener
	received atomic.Int64
	closed   atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Add(int64(n))
	if errors.Is(err, io.EOF) {
		c.listener.closed.Add(1)
	}
	return n, err
}

// Guards against nodes that hardly ever call each other and keep checking the connections between all of them: their
// number grows with the square of the fleet.
func TestAnIdleConnectionEnds(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &countingListener{Listener: plain}
	s := hostlink.NewServer(&node{}, &node{}).HTTP()
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1))
	defer c.Close()
	_, err = c.Document(context.Background(), plain.Addr().String())
	assert.NilError(t, err)
	time.Sleep(3 * time.Second)
	assert.Equal(t, l.closed.Load(), int64(1))
	quiet := l.received.Load()
	time.Sleep(2 * time.Second)
	assert.Equal(t, l.received.Load(), quiet)
	_, err = c.Document(context.Background(), plain.Addr().String())
	assert.NilError(t, err)
}

// Guards against news that another node reads as something else.
func TestExchange(t *testing.T) {
	r := roster.Record{Host: "h2", Address: "10.0.0.2:1", Domain: "b", Service: "watch", Started: 5, Sequence: 6, Ready: true}
	address, c := serve(t, &node{news: hostlink.News{From: r, Hosts: []roster.Record{r}, Version: 9, Digest: 1 << 63}})
	got, err := c.Exchange(context.Background(), address, hostlink.News{From: r, Left: []string{"h3"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, hostlink.News{From: r, Hosts: []roster.Record{r}, Left: []string{"h3"}, Version: 9, Digest: 1 << 63})
	raw, err := c.Document(context.Background(), address)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "document")
}
