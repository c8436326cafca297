package stub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	query := r.URL.Query()
	if !query.Has("watch") {
		s.updateCounters(func(c *Counters) { c.Gets++ })
		s.addLatency(r.Context())
		o, down, _ := s.load(name)
		writeObject(w, name, o, down)
		return
	}
	s.updateCounters(func(c *Counters) {
		c.Watches++
		c.WaitingWatches++
		c.MaxWaitingWatches = max(c.MaxWaitingWatches, c.WaitingWatches)
	})
	defer s.updateCounters(func(c *Counters) { c.WaitingWatches-- })
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	ms, waitErr := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if err != nil || waitErr != nil || ms < 0 {
		http.Error(w, "watch and wait-ms must be whole numbers", http.StatusBadRequest)
		return
	}
	s.addLatency(r.Context())
	s.watch(w, r, name, after, min(time.Duration(min(ms, maxWait.Milliseconds()))*time.Millisecond, maxWait))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, name string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		o, down, changed := s.load(name)
		if down || o.version != after {
			writeObject(w, name, o, down)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.Header().Set("ETag", etag(after))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func etag(version uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(version, 10)) }

func writeObject(w http.ResponseWriter, name string, o object, down bool) {
	switch {
	case down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
	case o.version == 0:
		http.Error(w, "no object "+strconv.Quote(name), http.StatusNotFound)
	default:
		w.Header().Set("ETag", etag(o.version))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(o.value) // the client may have disconnected
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.addLatency(r.Context())
	match := r.Header.Get("If-Match")
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		http.Error(w, `If-Match must be a version in double quotes, "0" for an object that must not exist`, http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, lost, status := s.store(r.PathValue("name"), version, value)
	switch {
	case lost:
		panic(http.ErrAbortHandler) // closes the connection without a response
	case status != 0:
		http.Error(w, http.StatusText(status), status)
	default:
		w.Header().Set("ETag", etag(v))
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) addLatency(ctx context.Context) {
	s.mu.Lock()
	d := s.faults.Latency
	s.mu.Unlock()
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// wireFaults is the body of /stub/v1/faults. PUT changes only the faults whose keys are present.
type wireFaults struct {
	Down          *bool   `json:"down,omitempty"`
	SlowMS        *int64  `json:"slow-ms,omitempty"`
	LoseResponses *int    `json:"lose-put-responses,omitempty"`
	Restore       *uint64 `json:"restore-to-revision,omitempty"`
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	ms := f.Latency.Milliseconds()
	writeJSON(w, wireFaults{Down: &f.Down, SlowMS: &ms, LoseResponses: &f.LoseResponses})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var in wireFaults
	dec := json.NewDecoder(io.LimitReader(r.Body, 4096))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if in.Down != nil {
		f.Down = *in.Down
	}
	if in.SlowMS != nil {
		f.Latency = time.Duration(*in.SlowMS) * time.Millisecond
	}
	if in.LoseResponses != nil {
		f.LoseResponses = *in.LoseResponses
	}
	s.SetFaults(f)
	if in.Restore != nil && !s.Restore(*in.Restore) {
		http.Error(w, "the history does not reach this revision", http.StatusBadRequest)
		return
	}
	s.getFaults(w, r)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	c := s.Counters()
	writeJSON(w, map[string]uint64{"gets": c.Gets, "puts": c.Puts, "watches": c.Watches, "waiting-watches": uint64(c.WaitingWatches),
		"max-waiting-watches": uint64(c.MaxWaitingWatches), "revision": c.Revision})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
