// Package inlet accepts the connections of a server and bounds what all of them take together, whatever their clients
// send or leave unread.
//
// A server has a number of connections. Beyond it, a new one takes the place of the one that has waited longest for a
// request, as core/connlimit decides. The heads of requests take memory from a quota that all servers share: a head of
// many short fields takes much more than its bytes. A head that finds no room ends its connection, before any of its
// request has run. A connection whose client reads nothing for some time is closed too.
package inlet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mustardmast/core/connlimit"
	"mustardmast/core/quota"
)

// Inlet accepts the connections of one server. Its methods may be called concurrently.
type Inlet struct {
	set   *connlimit.Set
	heads *quota.Quota

	lastID  atomic.Uint64
	refused atomic.Int64 // connections

	mu    sync.Mutex
	conns map[uint64]*conn
}

// New returns an inlet for at most limit connections, whose heads take memory from a quota. Heads is nil for a server whose
// protocol is not HTTP.
func New(limit int, heads *quota.Quota) *Inlet {
	return &Inlet{set: connlimit.New(limit), heads: heads, conns: map[uint64]*conn{}}
}

// Refused returns the number of connections that were closed because of a limit.
func (i *Inlet) Refused() int64 { return i.refused.Load() }

// Listener returns a listener that accepts from l.
func (i *Inlet) Listener(l net.Listener) net.Listener { return &listener{Listener: l, inlet: i} }

type listener struct {
	net.Listener
	inlet *Inlet
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.inlet.admit(n); c != nil {
			return c, nil
		}
		_ = n.Close() // nothing has been read from it
	}
}

// admit adds a connection. It returns nil if there is no room for it.
func (i *Inlet) admit(n net.Conn) *conn {
	c := &conn{Conn: n, inlet: i, id: i.lastID.Add(1)}
	c.inHead.Store(i.heads != nil)
	i.mu.Lock()
	i.conns[c.id] = c
	i.mu.Unlock()
	victim, ok := i.set.Add(time.Now(), c.id)
	i.mu.Lock()
	evicted := i.conns[victim]
	if !ok {
		delete(i.conns, c.id)
	}
	i.mu.Unlock()
	if evicted != nil {
		i.refused.Add(1)
		_ = evicted.Close() // it is of no use any more
	}
	if !ok {
		i.refused.Add(1)
		return nil
	}
	return c
}

func (i *Inlet) remove(c *conn) {
	i.set.Remove(c.id)
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c.id)
}

type connKey struct{}

// Guard makes a server tell the inlet which of its connections wait for a request. It wraps the handler and the hooks of
// s, whose connections must come from Listener.
func (i *Inlet) Guard(s *http.Server) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.inHead.Store(false)
		defer func() { i.set.Waiting(time.Now(), c.id) }()
		defer c.releaseHead()
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context { return context.WithValue(ctx, connKey{}, n) }
	hook := s.ConnState
	s.ConnState = func(n net.Conn, state http.ConnState) {
		if c, ok := n.(*conn); ok && state == http.StateIdle {
			c.inHead.Store(i.heads != nil)
		}
		if hook != nil {
			hook(n, state)
		}
	}
}

// Serving records that enough of a request has been read, and that its connection is not to be closed for another one
// until the request has been served. It returns false if the connection has been closed already. Ctx is the context of the
// request.
func Serving(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.inlet.set.Serving(c.id)
}
