package hostlink_test

import (
	"context"
	"errors"
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
	"mustardmast/io/hostlink"
)

// Guards against reporting an unknown outcome for a call to a host that is down, and not-executed for a call that may
// have run.
func TestUnreachableHost(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
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

// Guards against calls that wait until their deadlines on a connection whose peer does not respond: a ping without a
// pong must close it.
func TestSilentConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			if _, err := l.Accept(); err != nil { // accepted, but never read from
				return
			}
		}
	}()
	sent := call()
	sent.Deadline = time.Now().Add(20 * time.Second)
	began := time.Now()
	_, _, _, err = hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {}).Execute(context.Background(), l.Addr().String(), sent)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
}

// countingListener counts connections, received bytes and closed connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
	received atomic.Int64
	closed   atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
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

// Guards against keeping and pinging connections between nodes that rarely call each other: their number grows with the
// square of the number of nodes.
func TestIdleConnectionIsClosed(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &countingListener{Listener: plain}
	s := hostlink.NewServer(&node{}, &node{})
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer c.Close()
	_, err = c.FetchConfig(context.Background(), plain.Addr().String())
	assert.NilError(t, err)
	time.Sleep(3 * time.Second)
	assert.Equal(t, l.closed.Load(), int64(1))
	idleBytes := l.received.Load()
	time.Sleep(2 * time.Second)
	assert.Equal(t, l.received.Load(), idleBytes)
	_, err = c.FetchConfig(context.Background(), plain.Addr().String())
	assert.NilError(t, err)
}

// Guards against concurrent calls to an unreachable host that wait for their dials one after another.
func TestConcurrentCallsToUnreachableHost(t *testing.T) {
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	began := time.Now()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			_, _, _, err := c.Execute(context.Background(), l.Addr().String(), call())
			assert.Check(t, fault.From(err).Kind() == fault.PeerUnreachable)
		})
	}
	wg.Wait()
	assert.Assert(t, time.Since(began) < time.Second)
}

// Guards against reporting not-executed for a call in flight when its connection breaks, and against failing the next
// call because of the lost connection.
func TestLostConnection(t *testing.T) {
	started := make(chan struct{}, 1)
	n := &node{execute: func(ctx context.Context, _ *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		started <- struct{}{}
		<-ctx.Done()
		return nil, fault.New(fault.Canceled, "")
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := hostlink.NewServer(n, n)
	go func() { _ = s.Serve(l) }()
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer c.Close()
	go func() {
		<-started
		_ = s.Close()
	}()
	_, _, _, err = c.Execute(context.Background(), l.Addr().String(), call())
	assert.Equal(t, fault.From(err).Kind(), fault.PeerLost)
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
	_, _, _, err = c.Execute(context.Background(), l.Addr().String(), call())
	assert.Equal(t, fault.From(err).Kind(), fault.PeerUnreachable)
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
}

// Guards against taking bytes of another protocol or invalid frames for calls, and against allocating memory for them.
func TestOtherProtocols(t *testing.T) {
	address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		return &mustardmast.TargetReply{Status: 200, Length: 0, Body: http.NoBody}, nil
	}})
	for _, bytes := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"mustardmast-link 2\n\xff\xff\xff\xff\x01\x00\x00\x00\x01",
		"mustardmast-link 2\n\x00\x00\x00\x01\x01\x00\x00\x00\x01\x7f",
	} {
		n, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(n, bytes)
		assert.NilError(t, err)
		assert.NilError(t, n.SetReadDeadline(time.Now().Add(3*time.Second)))
		got, err := io.ReadAll(n)
		var timeout net.Error
		assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "connection with %q was not closed", bytes)
		assert.Equal(t, len(got), 0)
		assert.NilError(t, n.Close())
	}
	reply, _, _, err := c.Execute(context.Background(), address, call())
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
}

// Guards against a connection between nodes that counts as unused while it has calls, so that it may be closed for
// another one, and against one that counts as used for good.
func TestUsageOfConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	events := make(chan string, 10)
	server := hostlink.NewServer(&node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		events <- "call"
		return &mustardmast.TargetReply{Status: 200, Length: 0, Body: http.NoBody}, nil
	}}, nil)
	go func() { _ = server.Serve(usageListener{l, events}) }()
	defer server.Close()
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer c.Close()
	for range 2 {
		reply, _, _, err := c.Execute(context.Background(), l.Addr().String(), call())
		assert.NilError(t, err)
		assert.NilError(t, reply.Body.Close())
		for _, want := range []string{"serving", "call", "waiting"} {
			assert.Equal(t, <-events, want)
		}
	}
}

type usageListener struct {
	net.Listener
	events chan string
}

func (l usageListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	return usageConn{n, l.events}, err
}

type usageConn struct {
	net.Conn
	events chan string
}

func (c usageConn) Serving() bool { c.events <- "serving"; return true }
func (c usageConn) Waiting()      { c.events <- "waiting" }
