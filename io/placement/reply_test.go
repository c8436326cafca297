package placement_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/pressure"
	"mustardmast/core/quota"
	"mustardmast/core/retrybudget"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
	"mustardmast/io/placement"
)

// body is a reply body that counts the bytes that are read of it, and the bodies that are not closed.
type body struct {
	io.Reader
	read, open *atomic.Int64
	once       sync.Once
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	return n, err
}

func (b *body) Close() error {
	b.once.Do(func() { b.open.Add(-1) })
	return nil
}

// replier is an executor that replies with the given bodies.
type replier struct {
	status     int
	length     int64
	content    func() io.Reader
	read, open atomic.Int64
}

func (e *replier) Execute(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	e.open.Add(1)
	reply := &mustardmast.TargetReply{Status: e.status, Length: e.length, Body: &body{Reader: e.content(), read: &e.read, open: &e.open}}
	return reply, mustardmast.TargetReport{Ready: true}, nil
}

func (e *replier) Exchange(m hostlink.GossipMessage) hostlink.GossipMessage { return m }
func (e *replier) ConfigDocument() []byte                                   { return nil }

// newPlacer returns a placer on host h1 with a local executor, and the roster of its hosts.
func newPlacer(t *testing.T, local mustardmast.Executor) (*placement.Placer, *roster.Roster) {
	t.Helper()
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	t.Cleanup(link.Close)
	hosts := roster.New(roster.Record{Host: "h1", Service: "board", Ready: true}, 1)
	return placement.New(hosts, local, link, retrybudget.New(retrybudget.Spec{Ratio: 1, Slack: 1000, Window: time.Second}), pressure.New(), observer{}, quota.New(24<<20)), hosts
}

func place(p *placement.Placer) (*mustardmast.TargetReply, error) {
	c := &mustardmast.TargetCall{ID: "a", Service: "board", Repeatable: true, Deadline: time.Now().Add(5 * time.Second), Begun: time.Now()}
	return p.Place(context.Background(), c, func() io.Reader { return nil }, 2, nil)
}

// endless never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a node that runs out of memory by the replies of faulty targets, which send without end. Replies of other
// targets are complete meanwhile, and buffered again afterwards.
func TestEndlessReplies(t *testing.T) {
	const (
		calls       = 400
		memoryLimit = 32 << 20 // bytes, for the replies of all calls
	)
	e := &replier{status: http.StatusOK, length: -1, content: func() io.Reader { return endless{} }}
	p, _ := newPlacer(t, e)
	replies := make(chan *mustardmast.TargetReply, calls)
	for range calls {
		go func() {
			reply, err := place(p)
			assert.Check(t, err)
			replies <- reply
		}()
	}
	var open []*mustardmast.TargetReply
	for range calls {
		open = append(open, <-replies)
	}
	assert.Assert(t, e.read.Load() <= memoryLimit, "%d bytes are held", e.read.Load())

	e.content = func() io.Reader { return bytes.NewReader(bytes.Repeat([]byte("ab"), 100_000)) }
	for _, length := range []int64{-1, 200_000} {
		e.length = length
		reply, err := place(p)
		assert.NilError(t, err)
		got, err := io.ReadAll(reply.Body)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, bytes.Repeat([]byte("ab"), 100_000)), "%d bytes", len(got))
		assert.NilError(t, reply.Body.Close())
	}
	for _, reply := range open {
		assert.NilError(t, reply.Body.Close())
	}
	assert.Equal(t, e.open.Load(), int64(0))
	before := e.read.Load()
	reply, err := place(p)
	assert.NilError(t, err)
	assert.Equal(t, e.read.Load()-before, int64(200_000), "a reply is not buffered although there is space again")
	assert.NilError(t, reply.Body.Close())
}

// Guards against a reply whose body is never closed, and that holds a slot and memory, because the call was retried.
func TestRepliesThatAreNotReturnedAreClosed(t *testing.T) {
	for _, size := range []int64{100, 1 << 20} {
		content := func() io.Reader { return io.LimitReader(endless{}, size) }
		failing := &replier{status: http.StatusInternalServerError, length: -1, content: content}
		p, hosts := newPlacer(t, failing)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		other := &replier{status: http.StatusOK, length: -1, content: content}
		s := hostlink.NewServer(other, other)
		go func() { _ = s.Serve(l) }()
		hosts.Merge(roster.Record{Host: "h2", Address: l.Addr().String(), Service: "board", Ready: true, Started: 1}, true)
		for range 20 {
			reply, err := place(p)
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, reply.Body)
			assert.NilError(t, err)
			assert.Equal(t, n, size)
			assert.NilError(t, reply.Body.Close())
		}
		assert.Equal(t, failing.open.Load(), int64(0))
		assert.NilError(t, s.Close())
	}
}

// Guards against a truncated reply that is returned as a complete one, with its length corrected.
func TestReplyShorterThanItsLength(t *testing.T) {
	p, _ := newPlacer(t, &replier{status: http.StatusOK, length: 10, content: func() io.Reader { return bytes.NewReader([]byte("short")) }})
	_, err := place(p)
	assert.Equal(t, fault.KindOf(err), fault.AnswerCut)
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
}
