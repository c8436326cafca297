package hostlink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/message"
)

const (
	exchangePath    = "/mustardmast/v1/exchange"
	documentPath    = "/mustardmast/v1/configuration"
	nodeHost        = "mustardmast-node" // host name of the requests that are for the node itself
	maxStreams      = 4000               // maximum number of concurrent calls from one node
	maxExchangeSize = 4 << 20            // bytes
	// prefaceTimeout is the time within which a new connection must send the preface. A node sends it with its first
	// call.
	prefaceTimeout   = 2 * time.Second
	acceptRetryDelay = 20 * time.Millisecond // after a connection could not be accepted
)

// GossipHandler processes the gossip message of another node and returns that of this node.
type GossipHandler interface {
	Exchange(m GossipMessage) GossipMessage
	// ConfigDocument returns the active configuration as written by the operators.
	ConfigDocument() []byte
}

// Server serves requests of other nodes.
type Server struct {
	executor mustardmast.Executor
	gossip   GossipHandler

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[*conn]struct{}
}

// NewServer returns a server that runs calls on an executor and passes gossip messages to a handler.
func NewServer(e mustardmast.Executor, g GossipHandler) *Server {
	return &Server{executor: e, gossip: g, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until Close. It always returns a non-nil error.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	for {
		n, err := l.Accept()
		var netErr net.Error
		switch {
		case err == nil:
			go s.serveConn(n)
		case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// Close closes the listener first and then all connections, so that a caller whose connection closes cannot reconnect.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	l := s.listener
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.fail(errClosed)
	}
	return err
}

func (s *Server) serveConn(n net.Conn) {
	_ = n.SetReadDeadline(time.Now().Add(prefaceTimeout)) // if this fails, so does the read
	var got [len(preface)]byte
	if _, err := io.ReadFull(n, got[:]); err != nil || string(got[:]) != preface {
		_ = n.Close() // not a node, or another protocol version
		return
	}
	_ = n.SetReadDeadline(time.Time{}) // if this fails, a later read ends the connection
	c := newConn(n, serverIdleTimeout, s.handleCall, s.removeConn, func() {})
	c.usage, _ = n.(usage)
	s.mu.Lock()
	closed := s.closed
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if closed {
		c.fail(errClosed)
		return
	}
	c.readFrames()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// handleCall starts serving a call.
func (s *Server) handleCall(c *conn, id uint32, head, body []byte, last bool) {
	ctx, cancel := context.WithCancel(context.Background())
	st := newStream()
	st.conn, st.id, st.onAbort = c, id, cancel
	if !st.recv.push(body, last) {
		cancel()
		c.fail(errProtocol)
		return
	}
	if !c.acceptStream(st) {
		cancel()
		go st.sendError(fault.New(fault.QueueFull, "too many concurrent calls on one connection"), mustardmast.TargetReport{}) // it may block
		return
	}
	go func() {
		defer cancel()
		complete := false
		defer func() { st.finish(complete) }()
		defer recoverCall(st)
		complete = s.serveCall(ctx, st, head)
	}()
}

// recoverCall recovers from a panic, so that one call does not end the process. The caller receives an error with the
// outcome unknown.
func recoverCall(st *stream) {
	if cause := recover(); cause != nil {
		log.Printf("hostlink: panic serving a call: %v\n%s", cause, debug.Stack())
		st.sendError(fault.Newf(fault.Internal, "%v", cause), mustardmast.TargetReport{})
	}
}

// serveCall runs a call and sends its reply. It returns false if the reply was truncated or could not be sent.
func (s *Server) serveCall(ctx context.Context, st *stream, head []byte) bool {
	c, err := decodeCall(head, time.Now())
	if err != nil {
		return st.sendError(fault.Wrap(err, fault.BadRequest, "decoding call of peer node"), mustardmast.TargetReport{})
	}
	if c.Body != nil {
		c.Body = st.recv
	}
	if !c.Repeatable {
		st.conn.keep(st)
		st.conn.writeFrame(kindReceived, st.id)
	}
	var reply *mustardmast.TargetReply
	var report mustardmast.TargetReport
	if c.Host == nodeHost {
		reply, err = s.serveNode(c)
	} else {
		reply, report, err = s.executor.Execute(ctx, c)
	}
	if err != nil {
		return st.sendError(err, report)
	}
	defer func() { _ = reply.Body.Close() }() // a failure has shown in the read error
	if c.Method == http.MethodHead {
		reply.Length = 0 // responses to HEAD have no body
	}
	reply.Body = message.CheckedBody(reply.Body, reply.Length)
	first, complete, err := readFirstChunk(reply)
	kind := byte(kindReply)
	if complete {
		kind |= flagLast
	}
	st.window.reserve(len(first))
	h := encodeReply(reply, report)
	if len(h) > maxHeadSize {
		return st.sendError(fault.New(fault.AnswerCut, "response head exceeds the maximum size"), report)
	}
	if !st.conn.writeHead(kind, st.id, h, first) || err != nil {
		return false
	}
	return complete || st.sendBody(reply.Body) == nil
}

// readFirstChunk reads the part of a reply that is sent with its head, and reports whether that is all of it.
func readFirstChunk(r *mustardmast.TargetReply) (first []byte, complete bool, err error) {
	size := int64(chunkSize)
	if r.Length >= 0 {
		size = min(chunkSize, r.Length)
	}
	first = make([]byte, size+1) // one byte more, to detect the end
	n := 0
	for n < len(first) && err == nil {
		var m int
		m, err = r.Body.Read(first[n:])
		n += m
	}
	if err == io.EOF { // io.ReadFull would return the same error for a truncated body
		return first[:n], true, nil
	}
	return first[:n], false, err
}

// serveNode serves a request that is addressed to the node itself.
func (s *Server) serveNode(c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
	var raw []byte
	switch c.URI {
	case documentPath:
		raw = s.gossip.ConfigDocument()
	case exchangePath:
		if c.Body == nil {
			return nil, fault.New(fault.BadRequest, "exchange request without a body")
		}
		var in wireMessage
		err := json.NewDecoder(io.LimitReader(c.Body, maxExchangeSize)).Decode(&in)
		if err == nil {
			raw, err = json.Marshal(messageToWire(s.gossip.Exchange(messageFromWire(in))))
		}
		if err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "exchange")
		}
	default:
		return nil, fault.Newf(fault.NotFound, "unknown path %q of a request to the node", c.URI)
	}
	return &mustardmast.TargetReply{Status: http.StatusOK, Length: int64(len(raw)), Body: io.NopCloser(bytes.NewReader(raw))}, nil
}
