package hostlink_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/hostlink"
)

// Guards against a reply of a node with a broken head that passes as the answer of a target, against a further call on its
// connection, and against the loss of another call that is in flight on it.
func TestBrokenReply(t *testing.T) {
	for name, broken := range map[string]mustardmast.TargetReply{
		"status 000":              {Status: 0, Length: 4},
		"status 000, in parts":    {Status: 0, Length: -1},
		"status 100":              {Status: 100, Length: 4},
		"status 101":              {Status: 101, Length: 4},
		"status 1000":             {Status: 1000, Length: 4},
		"blank in a name":         {Status: 200, Length: 4, Header: http.Header{"X Y": {"z"}}},
		"blank after a name":      {Status: 200, Length: 4, Header: http.Header{"Content-Length ": {"9"}}},
		"control byte in a name":  {Status: 200, Length: 4, Header: http.Header{"X\x01Y": {"z"}}},
		"line break in a name":    {Status: 200, Length: 4, Header: http.Header{"X: y\r\nZ": {"z"}}},
		"empty name":              {Status: 200, Length: 4, Header: http.Header{"": {"z"}}},
		"length that cannot be":   {Status: 200, Length: -2},
		"length of all, negative": {Status: 200, Length: -1 << 63},
	} {
		resume, started := make(chan struct{}), make(chan struct{})
		n := &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
			r := &mustardmast.TargetReply{Status: 200, Length: 4}
			switch c.ID {
			case "broken":
				*r = broken
			case "slow":
				close(started)
				<-resume
			}
			r.Body = io.NopCloser(strings.NewReader("body"))
			return r, nil
		}}
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		l := &countingListener{Listener: tcp}
		s := hostlink.NewServer(n, n)
		go func() { _ = s.Serve(l) }()
		c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
		execute := func(id string) (string, error) {
			q := call()
			q.ID = id
			r, _, _, err := c.Execute(context.Background(), l.Addr().String(), q)
			if err != nil {
				return "", err
			}
			defer func() { _ = r.Body.Close() }()
			raw, err := io.ReadAll(r.Body)
			return string(raw), err
		}
		slow := make(chan error, 1)
		go func() {
			got, err := execute("slow")
			assert.Check(t, got == "body", "%s: the call in flight", name)
			slow <- err
		}()
		<-started
		_, err = execute("broken")
		assert.Check(t, fault.KindOf(err) == fault.TargetFailed, "%s: %v", name, err)
		if err != nil {
			assert.Check(t, fault.From(err).Outcome() == fault.Unknown, "%s: %v", name, err)
		}
		got, err := execute("next")
		assert.Check(t, err == nil && got == "body", "%s: %q, %v", name, got, err)
		assert.Check(t, l.accepted.Load() == 2, "%s: %d connections", name, l.accepted.Load())
		close(resume)
		assert.Check(t, <-slow, "%s: the call in flight", name)
		for end := time.Now().Add(time.Second); l.closed.Load() < 1 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		assert.Check(t, l.closed.Load() == 1, "%s: %d connections closed", name, l.closed.Load())
		c.Close()
		assert.NilError(t, s.Close())
	}
}
