package sidecar

import (
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"mustardmast/io/httpdrain"
	"mustardmast/io/inlet"
	"mustardmast/platform"
)

const (
	// connMemoryFraction is the fraction of the process's memory limit that connections may take.
	connMemoryFraction = 0.35
	// callerShare, peerShare and sideShare are the fractions of the process's descriptors for connections of callers, of
	// other nodes, and to each of the ports for announcements, readiness and metrics. The rest is for connections that the
	// node opens, to its target, other nodes and the store.
	callerShare = 0.5
	peerShare   = 0.2
	sideShare   = 0.02
	allShares   = callerShare + peerShare + 3*sideShare
)

// inlets are the inlets of the ports of a node.
type inlets struct{ callers, peers, announcements, readiness, metrics *inlet.Inlet }

func newInlets(s platform.Settings, m *memory, set *metrics.Set) *inlets {
	connections := func(share float64) int {
		byMemory := connMemoryFraction * float64(s.MemoryBytes()) / inlet.ConnBytes / allShares
		return max(1, int(share*min(float64(s.MaxDescriptors()), byMemory)))
	}
	in := &inlets{
		callers: inlet.New(connections(callerShare), m.heads), peers: inlet.New(connections(peerShare), nil),
		announcements: inlet.New(connections(sideShare), m.heads), readiness: inlet.New(connections(sideShare), m.heads),
		metrics: inlet.New(connections(sideShare), m.heads),
	}
	set.NewGauge("mustardmast_connections_refused_total", func() float64 {
		return float64(in.callers.Refused() + in.peers.Refused() + in.announcements.Refused() + in.readiness.Refused() + in.metrics.Refused())
	})
	return in
}

// newHTTPServer returns a server for the connections of an inlet.
func newHTTPServer(in *inlet.Inlet, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	in.Guard(s)
	return s
}

// inletServer serves the connections that an inlet accepts.
type inletServer struct {
	server
	inlet *inlet.Inlet
}

// Serve implements server.
func (s inletServer) Serve(l net.Listener) error {
	if tcp, ok := l.(*net.TCPListener); ok {
		if _, drains := s.server.(*httpdrain.Server); drains {
			l = httpdrain.NewListener(tcp)
		}
	}
	return s.server.Serve(s.inlet.Listener(l))
}
