package hostlink

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/roster"
	"mustardmast/io/message"
)

const (
	exchangePath = "/mustardmast/v1/exchange"
	documentPath = "/mustardmast/v1/configuration"
	linkHost     = "mustardmast-node" // host name of the requests that are for the node itself
	mostStreams  = 4000               // calls at a time from one other node
	mostExchange = 4 << 20            // bytes
)

// News is what nodes tell each other of the hosts.
type News struct {
	From    roster.Record
	Hosts   []roster.Record // those that the sender knows, if the digests differ
	Left    []string        // hosts that have left for good
	Version uint64          // of the configuration that the sender has
	Digest  uint64          // of the hosts that the sender knows; 0 if it does not tell
}

// Gossip takes the news of another node and returns this one's.
type Gossip interface {
	Exchange(n News) News
	// Document returns the configuration in force as the operators wrote it.
	Document() []byte
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
	return wireRecord{Host: r.Host, Address: r.Address, Domain: r.Domain, Service: r.Service, Started: r.Started, Sequence: r.Sequence, Ready: r.Ready}
}

func recordFromWire(w wireRecord) roster.Record {
	return roster.Record{Host: w.Host, Address: w.Address, Domain: w.Domain, Service: w.Service, Started: w.Started, Sequence: w.Sequence, Ready: w.Ready}
}

func newsToWire(n News) wireNews {
	w := wireNews{From: recordToWire(n.From), Left: n.Left, Version: n.Version, Digest: n.Digest}
	for _, r := range n.Hosts {
		w.Hosts = append(w.Hosts, recordToWire(r))
	}
	return w
}

func newsFromWire(w wireNews) News {
	n := News{From: recordFromWire(w.From), Left: w.Left, Version: w.Version, Digest: w.Digest}
	for _, r := range w.Hosts {
		n.Hosts = append(n.Hosts, recordFromWire(r))
	}
	return n
}

// Server answers other nodes.
type Server struct {
	executor mustardmast.Executor
	gossip   Gossip
}

// NewServer returns a server that runs calls on an executor.
func NewServer(e mustardmast.Executor, g Gossip) *Server {
	return &Server{executor: e, gossip: g}
}

// HTTP returns the HTTP server. It speaks HTTP/2 without encryption.
func (s *Server) HTTP() *http.Server {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: s, Protocols: p, IdleTimeout: abandoned, HTTP2: &http.HTTP2Config{
		MaxConcurrentStreams: mostStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
	}}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Host != linkHost {
		s.execute(w, r)
		return
	}
	switch r.URL.Path {
	case exchangePath:
		s.exchange(w, r)
	case documentPath:
		_, _ = w.Write(s.gossip.Document()) // a node that went away asks again
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) exchange(w http.ResponseWriter, r *http.Request) {
	var in wireNews
	if err := json.NewDecoder(io.LimitReader(r.Body, mostExchange)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(newsToWire(s.gossip.Exchange(newsFromWire(in)))) // a node that went away asks again
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r, time.Now())
	if err != nil {
		writeError(w, fault.Wrap(err, fault.BadRequest, "call of another node"))
		return
	}
	reply, report, err := s.executor.Execute(r.Context(), c)
	w.Header()["Date"] = nil
	if err != nil {
		w.Header()[fieldReport] = []string{encodeReport(report)}
		writeError(w, err)
		return
	}
	defer func() { _ = reply.Body.Close() }() // the read has told of a failure already
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	delete(w.Header(), fieldError) // only the node's own answers have it
	w.Header()[fieldReport] = []string{encodeReport(report)}
	if _, ok := reply.Header["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil
	}
	if c.Method == http.MethodHead {
		w.Header().Del("Content-Length") // of a body that is not sent
	}
	w.WriteHeader(reply.Status)
	if _, err := message.Copy(w, reply.Body, reply.Length); err != nil {
		panic(http.ErrAbortHandler) // resets the stream, so that the answer does not look complete
	}
}
