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
		s.count(func(c *Counters) { c.Gets++ })
		s.delay(r.Context())
		o, down, _ := s.load(name)
		answer(w, name, o, down)
		return
	}
	s.count(func(c *Counters) {
		c.Watches++
		c.WaitingWatches++
		c.MaxWaitingWatches = max(c.MaxWaitingWatches, c.WaitingWatches)
	})
	defer s.count(func(c *Counters) { c.WaitingWatches-- })
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	ms, err2 := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if err != nil || err2 != nil || ms < 0 {
		http.Error(w, "watch and wait-ms must be whole numbers", http.StatusBadRequest)
		return
	}
	s.delay(r.Context())
	s.watch(w, r, name, after, min(time.Duration(min(ms, maxWait.Milliseconds()))*time.Millisecond, maxWait))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, name string, after uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		o, down, changed := s.load(name)
		if down || o.version != after {
			answer(w, name, o, down)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			w.Header().Set("ETag", tag(after))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func tag(version uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(version, 10)) }

func answer(w http.ResponseWriter, name string, o object, down bool) {
	switch {
	case down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
	case o.version == 0:
		http.Error(w, "no object "+strconv.Quote(name), http.StatusNotFound)
	default:
		w.Header().Set("ETag", tag(o.version))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(o.value) // the client may have gone
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.delay(r.Context())
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
		w.Header().Set("ETag", tag(v))
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) delay(ctx context.Context) {
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

// wireFaults is the body of /stub/v1/faults. A key that is absent from a PUT leaves the fault as it is.
type wireFaults struct {
	Down          *bool   `json:"down,omitempty"`
	SlowMS        *int64  `json:"slow-ms,omitempty"`
	LoseResponses *int    `json:"lose-put-responses,omitempty"`
	Restore       *uint64 `json:"restore-to-revision,omitempty"`
}

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	ms := f.Latency.Milliseconds()
	write200(w, wireFaults{Down: &f.Down, SlowMS: &ms, LoseResponses: &f.LoseResponses})
}

func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
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
	s.showFaults(w, r)
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	c := s.Counters()
	write200(w, map[string]uint64{"gets": c.Gets, "puts": c.Puts, "watches": c.Watches, "waiting-watches": uint64(c.WaitingWatches),
		"max-waiting-watches": uint64(c.MaxWaitingWatches), "revision": c.Revision})
}

func write200(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}
