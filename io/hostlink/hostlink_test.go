package hostlink_test

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
)

// node is an executor and gossip handler with configurable responses.
type node struct {
	execute func(ctx context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error)
	message hostlink.GossipMessage
	report  mustardmast.TargetReport
}

func (n *node) Execute(ctx context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	r, err := n.execute(ctx, c)
	return r, n.report, err
}

func (n *node) Exchange(in hostlink.GossipMessage) hostlink.GossipMessage {
	n.message.Removals = in.Removals
	return n.message
}

func (n *node) ConfigDocument() []byte { return []byte("document") }

func serve(t *testing.T, n *node) (string, *hostlink.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := hostlink.NewServer(n, n)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	t.Cleanup(c.Close)
	return l.Addr().String(), c
}

func call() *mustardmast.TargetCall {
	return &mustardmast.TargetCall{
		ID: "a.b", Service: "watch", Route: "q.example/x/", Version: 7, EntryHost: "h1", Method: "PATCH", URI: "/x/%2f?q=1", Host: "q.example",
		Header: http.Header{"Accept": {"*/*"}}, Content: 1<<63 | 5, Priority: 2, Rank: 1, AdmittedFraction: 0.25, Repeatable: true, SubCall: true, Retry: true, OfferedBefore: true,
		Begun: time.Now().Add(-time.Second), Deadline: time.Now().Add(2 * time.Second), MaxWait: 30 * time.Millisecond,
	}
}

// Guards against fields of a call, a reply or a report that are decoded incorrectly.
func TestCallRoundTrip(t *testing.T) {
	sent := call()
	sent.Body, sent.Length = strings.NewReader("body"), 4
	report := mustardmast.TargetReport{Ready: true, Service: "watch", Limit: 31, Running: 5, Waiting: 2, Duration: 40 * time.Millisecond, Level: 1.25, Version: 9, HasSubCalls: true}
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
	assert.Assert(t, sent.Begun.Sub(got.Begun).Abs() < 100*time.Millisecond)
	got.Begun, got.Deadline, got.Body, sent.Body = sent.Begun, sent.Deadline, nil, nil
	assert.DeepEqual(t, got, *sent)
}

// Guards against numbers of another node that, converted to a float, multiplied and converted back, overflow with a
// result that depends on the processor.
func TestNumbersOutOfRange(t *testing.T) {
	const scale = 1000 // at least what any of the numbers is multiplied by
	sent := call()
	sent.MaxWait, sent.AdmittedFraction = math.MaxInt64, 9e15
	var got mustardmast.TargetCall
	address, c := serve(t, &node{report: mustardmast.TargetReport{Level: 9e15}, execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		got = *c
		return &mustardmast.TargetReply{Status: 200, Body: http.NoBody}, nil
	}})
	reply, report, _, err := c.Execute(context.Background(), address, sent)
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	assert.Assert(t, got.MaxWait >= 24*time.Hour && float64(got.MaxWait)*2 < math.MaxInt64, "%v", got.MaxWait)
	assert.Assert(t, got.AdmittedFraction >= 1 && got.AdmittedFraction*2*scale < math.MaxInt64, "%v", got.AdmittedFraction)
	assert.Assert(t, report.Level >= 10 && report.Level*2*scale < math.MaxInt64, "%v", report.Level)
}

// Guards against text from clients and operators that corrupts an encoded call, and against headers of a client or a
// target that use the link's own field names.
func TestFieldsThatResembleTheEncoding(t *testing.T) {
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

// Guards against an outcome that changes in transit: not-executed must arrive as such, and unknown must not become
// not-executed.
func TestErrorsKeepTheirOutcome(t *testing.T) {
	for _, want := range []*fault.Error{
		fault.New(fault.QueueFull, "estimated wait exceeds the maximum").WithRetryAfter(70 * time.Millisecond),
		fault.New(fault.TargetFailed, "reset\nby peer"),
		fault.New(fault.Draining, "").WithOutcome(fault.Unknown),
		fault.New(fault.Shed, "on one host only").WithOnlyHost("h2"),
	} {
		address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) { return nil, want }})
		_, _, _, err := c.Execute(context.Background(), address, call())
		got := fault.From(err)
		assert.Equal(t, got.Kind(), want.Kind())
		assert.Equal(t, got.Outcome(), want.Outcome())
		assert.Equal(t, got.RetryAfter(), want.RetryAfter())
		assert.Equal(t, got.OnlyHost(), want.OnlyHost())
	}
}

// Guards against gossip messages that are decoded incorrectly.
func TestGossipExchange(t *testing.T) {
	r := roster.Record{Host: "h2", Address: "10.0.0.2:1", FailureDomain: "b", Service: "watch", Started: 5, Sequence: 6, Ready: true}
	address, c := serve(t, &node{message: hostlink.GossipMessage{From: r, Hosts: []roster.Record{r}, Version: 9, Digest: 1 << 63}})
	got, err := c.Exchange(context.Background(), address, hostlink.GossipMessage{From: r, Removals: []roster.Removal{{Host: "h3", Started: 4}}})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, hostlink.GossipMessage{From: r, Hosts: []roster.Record{r}, Removals: []roster.Removal{{Host: "h3", Started: 4}}, Version: 9, Digest: 1 << 63})
	raw, err := c.FetchConfig(context.Background(), address)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "document")
}

// Guards against evidence about crashing requests that is decoded incorrectly, and against ages of a foreign message that
// overflow.
func TestEvidenceExchange(t *testing.T) {
	evidence := []quarantine.Update{
		{
			Fingerprint: 1<<63 | 7, Completed: quarantine.Event{ID: 3, Age: 40 * time.Millisecond}, Cleared: quarantine.Event{ID: 1<<63 | 4, Age: -2 * time.Second},
			Crashes: []quarantine.Event{{ID: 1<<63 | 1, Age: time.Second}, {ID: 2, Age: time.Minute}},
		},
		{Fingerprint: 8, Completed: quarantine.Event{Age: quarantine.Never}, Cleared: quarantine.Event{Age: quarantine.Never}},
	}
	address, c := serve(t, &node{message: hostlink.GossipMessage{Evidence: evidence, WantEvidence: true}})
	got, err := c.Exchange(context.Background(), address, hostlink.GossipMessage{})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, hostlink.GossipMessage{Evidence: evidence, WantEvidence: true})

	far := []quarantine.Update{{Fingerprint: 9, Completed: quarantine.Event{ID: 1, Age: math.MaxInt64 - 1}, Cleared: quarantine.Event{ID: 1, Age: math.MinInt64}}}
	address, c = serve(t, &node{message: hostlink.GossipMessage{Evidence: far}})
	got, err = c.Exchange(context.Background(), address, hostlink.GossipMessage{})
	assert.NilError(t, err)
	assert.Equal(t, got.Evidence[0].Completed.Age, 24*time.Hour)
	assert.Equal(t, got.Evidence[0].Cleared.Age, -24*time.Hour)
}

// Guards against work that continues on the other node after its caller has canceled, also while the reply is being
// read.
func TestCanceledCall(t *testing.T) {
	ended := make(chan time.Time, 1)
	address, c := serve(t, &node{execute: func(ctx context.Context, _ *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() {
			ended <- time.Now()
			_ = w.CloseWithError(ctx.Err())
		})
		go func() { _, _ = w.Write(pattern(64 << 10)) }()
		return &mustardmast.TargetReply{Status: 200, Length: -1, Body: r}, nil
	}})
	reply, _, _, err := c.Execute(context.Background(), address, call())
	assert.NilError(t, err)
	_, err = io.ReadFull(reply.Body, make([]byte, 1000))
	assert.NilError(t, err)
	canceledAt := time.Now()
	assert.NilError(t, reply.Body.Close())
	assert.Assert(t, (<-ended).Sub(canceledAt) < 500*time.Millisecond)

	ctx, cancel := context.WithCancel(context.Background())
	reply, _, _, err = c.Execute(ctx, address, call())
	assert.NilError(t, err)
	canceledAt = time.Now()
	cancel()
	_, err = io.ReadAll(reply.Body)
	assert.Assert(t, err != nil)
	assert.NilError(t, reply.Body.Close())
	assert.Assert(t, (<-ended).Sub(canceledAt) < 500*time.Millisecond)
}

// Guards against an oversized head that closes the connection and fails all calls on it.
func TestOversizedHeads(t *testing.T) {
	large := http.Header{"X": {strings.Repeat("x", 300<<10)}}
	address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		return &mustardmast.TargetReply{Status: 200, Header: large, Length: 0, Body: http.NoBody}, nil
	}})
	_, _, _, err := c.Execute(context.Background(), address, call())
	assert.Equal(t, fault.From(err).Kind(), fault.AnswerCut)
	sent := call()
	sent.Header = large
	_, _, _, err = c.Execute(context.Background(), address, sent)
	assert.Equal(t, fault.From(err).Kind(), fault.BadRequest)
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
}

// Guards against a panic in one call that ends the process, and against a malformed request to the node itself.
func TestPanicInOneCall(t *testing.T) {
	address, c := serve(t, &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		if c.ID == "bad" {
			panic("a bug in the node")
		}
		return &mustardmast.TargetReply{Status: 200, Length: 0, Body: http.NoBody}, nil
	}})
	bad, internal := call(), call()
	bad.ID = "bad"
	_, _, _, err := c.Execute(context.Background(), address, bad)
	assert.Equal(t, fault.From(err).Kind(), fault.Internal)
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
	internal.Host, internal.URI = "mustardmast-node", "/mustardmast/v1/exchange"
	_, _, _, err = c.Execute(context.Background(), address, internal)
	assert.Equal(t, fault.From(err).Kind(), fault.BadRequest)
	reply, _, _, err := c.Execute(context.Background(), address, call())
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
}

// Guards against delivering replies to the wrong calls under concurrency.
func TestConcurrentCalls(t *testing.T) {
	address, c := serve(t, &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		time.Sleep(time.Duration(len(c.ID)%3) * time.Millisecond)
		return &mustardmast.TargetReply{Status: 200, Length: -1, Body: io.NopCloser(strings.NewReader("for " + c.ID))}, nil
	}})
	var wg sync.WaitGroup
	for worker := range 40 {
		wg.Go(func() {
			for n := range 50 {
				sent := call()
				sent.ID = strings.Repeat("x", n) + strconv.Itoa(worker)
				reply, _, _, err := c.Execute(context.Background(), address, sent)
				if !assert.Check(t, err == nil, "%v", err) {
					return
				}
				got, err := io.ReadAll(reply.Body)
				assert.Check(t, err == nil && string(got) == "for "+sent.ID, "%v %.60s", err, got)
			}
		})
	}
	wg.Wait()
}

// Guards against reading beyond the end of a truncated head or one with invalid counts.
func FuzzHeads(f *testing.F) {
	address, c := "", hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	s := hostlink.NewServer(&node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		return &mustardmast.TargetReply{Status: 200, Length: 0, Body: http.NoBody}, nil
	}}, &node{})
	go func() { _ = s.Serve(l) }()
	address = l.Addr().String()
	f.Add([]byte{3, 2, 'a'})
	f.Add([]byte("\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload) > 1<<16 {
			return
		}
		n, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		frame := append([]byte("mustardmast-link 2\n"), 0, 0, byte(len(payload)>>8), byte(len(payload)), 0x81, 0, 0, 0, 1)
		_, err = n.Write(append(frame, payload...))
		assert.NilError(t, err)
		assert.NilError(t, n.Close())
		reply, _, _, err := c.Execute(context.Background(), address, call())
		assert.NilError(t, err)
		assert.NilError(t, reply.Body.Close())
	})
}
