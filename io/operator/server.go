package operator

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/pprof"
	"os"

	"github.com/urfave/negroni/v3"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/header"
)

const maxBodyBytes = 16 << 10

// Server serves the admin interface. It implements http.Handler.
type Server struct {
	clock mustardmast.Clock
	ports Ports
	http  http.Handler
}

// New returns a server that accesses the node through p. All ports must be set.
func New(clock mustardmast.Clock, p Ports) *Server {
	s := &Server{clock: clock, ports: p}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("POST /v1/drain", s.drain)
	mux.HandleFunc("GET /v1/explain", s.explain)
	mux.HandleFunc("GET /v1/quarantine", s.quarantine)
	mux.HandleFunc("DELETE /v1/quarantine", s.clearQuarantine)
	mux.HandleFunc("POST /v1/targets", s.announce)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false // the stack is logged, not sent in the response
	recovery.Logger = log.New(os.Stderr, "operator: ", log.LstdFlags)
	n := negroni.New(recovery)
	n.UseHandler(mux)
	s.http = n
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.ServeHTTP(w, r) }

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, statusToWire(s.ports.Status.Status(s.clock.Now())))
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	if err := s.ports.Drain.Drain(r.Context()); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, statusToWire(s.ports.Status.Status(s.clock.Now())))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	if id == "" || len(id) > call.MaxIDLength {
		writeError(w, fault.Newf(fault.BadRequest, "id is %d bytes long; allowed: 1 to %d", len(id), call.MaxIDLength))
		return
	}
	e, ok := s.ports.Explain.Explain(id)
	if !ok {
		writeError(w, fault.Newf(fault.NotFound, "this node has no record of request %q", id))
		return
	}
	writeJSON(w, http.StatusOK, explanationToWire(e))
}

func (s *Server) quarantine(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, quarantinedToWire(s.ports.Quarantine.Entries(s.clock.Now())))
}

func (s *Server) clearQuarantine(w http.ResponseWriter, r *http.Request) {
	n := s.ports.Quarantine.Clear(s.clock.Now(), r.URL.Query().Get("fingerprint"))
	writeJSON(w, http.StatusOK, wireClearResponse{Cleared: n})
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var in wireAnnouncement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		writeError(w, fault.Newf(fault.BadRequest, "announcement: %v", err))
		return
	}
	a, err := announcementFromWire(in)
	if err == nil {
		err = s.ports.Targets.Announce(s.clock.Now(), a)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wireAnnounceResponse{HeartbeatMS: HeartbeatPeriod.Milliseconds()})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := s.ports.Readiness.Ready(); !ready {
		writeError(w, fault.New(fault.NotReady, reason))
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.ports.Metrics.WritePrometheus(w)
}

func writeError(w http.ResponseWriter, err error) { header.WriteError(w, "", err) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
