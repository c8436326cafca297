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
	"mustardmast/core/roster"
)

const (
	exchangePath = "/mustardmast/v1/exchange"
	documentPath = "/mustardmast/v1/configuration"
	linkHost     = "mustardmast-node" // host name of the requests that are for the node itself
	mostStreams  = 4000               // calls at a time from one other node
	mostExchange = 4 << 20            // bytes
	// prefaceTimeout is how long a connection may take to name its protocol; a node sends it with its first call.
	prefaceTimeout = 2 * time.Second
	acceptPause    = 20 * time.Millisecond // after a connection that could not be taken
)

// GossipMessage is what nodes tell each other of the hosts.
type GossipMessage struct {
	From    roster.Record
	Hosts   []roster.Record // those that the sender knows, if the digests differ
	Left    []string        // hosts that have left for good
	Version uint64          // of the configuration that the sender has
	Digest  uint64          // of the hosts that the sender knows; 0 if it does not tell
}

// GossipHandler takes the news of another node and returns this one's.
type GossipHandler interface {
	Exchange(n GossipMessage) GossipMessage
	// ConfigDocument returns the configuration in force as the operators wrote it.
	ConfigDocument() []byte
}

type wireRecord struct {
	Host     string `json:"host"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	Service  string `json:"service"`
	Started  int64  `json:"started-ms"`
	Sequence uint64 `json:"sequence"`
	Ready    bool   `json:"ready"`
}

type wireNews struct {
	From    wireRecord   `json:"from"`
	Hosts   []wireRecord `json:"hosts,omitempty"`
	Left    []string     `json:"left,omitempty"`
	Version uint64       `json:"version"`
	Digest  uint64       `json:"digest,omitempty"`
}

func recordToWire(r roster.Record) wireRecord {
	return wireRecord{Host: r.Host, Address: r.Address, Domain: r.FailureDomain, Service: r.Service, Started: r.Started, Sequence: r.Sequence, Ready: r.Ready}
}

func recordFromWire(w wireRecord) roster.Record {
	return roster.Record{Host: w.Host, Address: w.Address, FailureDomain: w.Domain, Service: w.Service, Started: w.Started, Sequence: w.Sequence, Ready: w.Ready}
}

func newsToWire(n GossipMessage) wireNews {
	w := wireNews{From: recordToWire(n.From), Left: n.Left, Version: n.Version, Digest: n.Digest}
	for _, r := range n.Hosts {
		w.Hosts = append(w.Hosts, recordToWire(r))
	}
	return w
}

func newsFromWire(w wireNews) GossipMessage {
	n := GossipMessage{From: recordFromWire(w.From), Left: w.Left, Version: w.Version, Digest: w.Digest}
	for _, r := range w.Hosts {
		n.Hosts = append(n.Hosts, recordFromWire(r))
	}
	return n
}

// Server answers other nodes.
type Server struct {
	executor mustardmast.Executor
	gossip   GossipHandler

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[*conn]struct{}
}

// NewServer returns a server that runs calls on an executor.
func NewServer(e mustardmast.Executor, g GossipHandler) *Server {
	return &Server{executor: e, gossip: g, conns: map[*conn]struct{}{}}
}

// Serve takes connections until Close. It always returns an error.
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
		var temporary net.Error
		switch {
		case err == nil:
			go s.serve(n)
		case errors.As(err, &temporary) && temporary.Timeout(), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptPause)
		default:
			return err
		}
	}
}

// Close ends the listener and then all connections, so that a caller whose connection ends finds no listener any more.
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

func (s *Server) serve(n net.Conn) {
	_ = n.SetReadDeadline(time.Now().Add(prefaceTimeout)) // without it the check of silent connections ends it
	var opening [len(preface)]byte
	if _, err := io.ReadFull(n, opening[:]); err != nil || string(opening[:]) != preface {
		_ = n.Close() // it is no node of this version
		return
	}
	_ = n.SetReadDeadline(time.Time{}) // a read that fails for it ends the connection
	c := newConn(n, abandoned, s.called, s.gone)
	s.mu.Lock()
	closed := s.closed
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if closed {
		c.fail(errClosed)
		return
	}
	c.read()
}

func (s *Server) gone(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// called starts a call.
func (s *Server) called(c *conn, id uint32, head, body []byte, last bool) {
	ctx, cancel := context.WithCancel(context.Background())
	v := newStream()
	v.conn, v.id, v.left = c, id, cancel
	v.in.push(body, last)
	if !c.accept(v) {
		cancel()
		go v.refuse(fault.New(fault.QueueFull, "too many calls on one connection"), mustardmast.TargetReport{}) // it may block
		return
	}
	go func() {
		defer cancel()
		complete := false
		defer func() { v.end(complete) }()
		defer recovered(v)
		complete = s.answer(ctx, v, head)
	}()
}

// recovered keeps a fault of this node on one call from ending all others. The call's caller is told that it may have run.
func recovered(v *stream) {
	if cause := recover(); cause != nil {
		log.Printf("hostlink: panic serving a call: %v\n%s", cause, debug.Stack())
		v.refuse(fault.Newf(fault.Internal, "%v", cause), mustardmast.TargetReport{})
	}
}

// answer runs a call and sends its reply. It returns false if the reply is not whole.
func (s *Server) answer(ctx context.Context, v *stream, head []byte) bool {
	c, err := decodeCall(head, time.Now())
	if err != nil {
		return v.refuse(fault.Wrap(err, fault.BadRequest, "call of another node"), mustardmast.TargetReport{})
	}
	if c.Body != nil {
		c.Body = v.in
	}
	var reply *mustardmast.TargetReply
	var report mustardmast.TargetReport
	if c.Host == linkHost {
		reply, err = s.own(c)
	} else {
		reply, report, err = s.executor.Execute(ctx, c)
	}
	if err != nil {
		return v.refuse(err, report)
	}
	defer func() { _ = reply.Body.Close() }() // the read has told of a failure already
	if c.Method == http.MethodHead {
		reply.Length = 0 // it has no body
	}
	first, whole, err := firstPart(reply)
	kind := byte(kindReply)
	if whole {
		kind |= flagLast
	}
	v.out.spend(len(first))
	h := encodeReply(reply, report)
	if len(h) > mostHead {
		return v.refuse(fault.New(fault.AnswerCut, "the head of the answer is too large"), report)
	}
	if !v.conn.writeHead(kind, v.id, h, first) || err != nil {
		return false
	}
	return whole || v.send(reply.Body) == nil
}

// firstPart reads what of a reply goes with its head. It returns whether that is all of it.
func firstPart(r *mustardmast.TargetReply) (first []byte, whole bool, err error) {
	size := int64(chunk)
	if r.Length >= 0 {
		size = min(chunk, r.Length)
	}
	first = make([]byte, size+1) // one more, to meet the end
	n := 0
	for n < len(first) && err == nil {
		var m int
		m, err = r.Body.Read(first[n:])
		n += m
	}
	if err == io.EOF { // not a body that ends early, which io.ReadFull would report alike
		return first[:n], r.Length < 0 || int64(n) == r.Length, nil
	}
	return first[:n], false, err
}

// own answers a request that is for the node itself.
func (s *Server) own(c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
	var raw []byte
	switch c.URI {
	case documentPath:
		raw = s.gossip.ConfigDocument()
	case exchangePath:
		if c.Body == nil {
			return nil, fault.New(fault.BadRequest, "exchange without a body")
		}
		var in wireNews
		err := json.NewDecoder(io.LimitReader(c.Body, mostExchange)).Decode(&in)
		if err == nil {
			raw, err = json.Marshal(newsToWire(s.gossip.Exchange(newsFromWire(in))))
		}
		if err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "exchange")
		}
	default:
		return nil, fault.Newf(fault.NotFound, "no such path: %q", c.URI)
	}
	return &mustardmast.TargetReply{Status: http.StatusOK, Length: int64(len(raw)), Body: io.NopCloser(bytes.NewReader(raw))}, nil
}
