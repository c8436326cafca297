// Package announce takes the announcements of the target on this host.
package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"mustardmast/core/admission"
	"mustardmast/core/lifetime"
	"mustardmast/io/eventlog"
	"mustardmast/io/targetconn"
)

// mostBody is the largest announcement that is read, in bytes.
const mostBody = 64 << 10

// Decoder decodes announcements.
type Decoder interface {
	// ParsePath returns the id of the target in a path, and whether it says that the target goes.
	ParsePath(path string) (id string, leaving, ok bool)
	// StartedMS returns the start that a target's message tells, in Unix milliseconds; 0 if it does not.
	StartedMS(raw []byte) int64
	// Decode decodes the body of an announcement.
	Decode(id string, raw []byte) (lifetime.Announcement, error)
}

// Handler implements http.Handler.
type Handler struct {
	codec   Decoder
	tracker *lifetime.Tracker
	intake  *admission.Controller
	pool    *targetconn.Pool
	known   func(service string) bool
	changed func(t lifetime.Target)
	log     *eventlog.Log
}

// New returns a handler. Known reports whether a service is part of the configuration; changed is called when the
// target's service or state may have changed.
func New(c Decoder, t *lifetime.Tracker, i *admission.Controller, p *targetconn.Pool, known func(string) bool, changed func(lifetime.Target), l *eventlog.Log) *Handler {
	return &Handler{codec: c, tracker: t, intake: i, pool: p, known: known, changed: changed, log: l}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, leaving, ok := h.codec.ParsePath(r.URL.Path)
	if !ok || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	before := h.tracker.Target()
	raw, err := io.ReadAll(io.LimitReader(r.Body, mostBody))
	if leaving { // whatever its body is
		h.tracker.Deregister(lifetime.Deregistration{ID: id, StartedMS: h.codec.StartedMS(raw), Received: time.Now()})
		h.note(before)
		writeEmpty(w)
		return
	}
	if err != nil {
		h.ignore(w, id, err.Error())
		return
	}
	a, err := h.codec.Decode(id, raw)
	if err != nil {
		h.ignore(w, id, err.Error())
		return
	}
	if !h.known(a.Service) {
		h.ignore(w, id, "unknown service "+a.Service)
		return
	}
	h.take(before, a)
	writeEmpty(w)
}

func (h *Handler) take(before lifetime.Target, a lifetime.Announcement) {
	now := time.Now()
	if !h.tracker.Announce(a) {
		h.log.Write(eventlog.AnnouncementIgnored, zap.String("target", a.ID), zap.String("reason", "older than what is known, or about another address"),
			zap.Int64("sequence", a.Sequence), zap.Int64("started-ms", a.StartedMS))
		return
	}
	if before.ID != a.ID {
		h.pool.CloseIdle()
		if a.WarmUp > 0 {
			h.intake.TargetRestarted()
		}
	}
	if before.Slots != a.Slots || before.ID != a.ID {
		h.intake.SetSlots(now, a.Slots)
	}
	h.note(before)
}

// note reports a change of the target.
func (h *Handler) note(before lifetime.Target) {
	t := h.tracker.Target()
	if t.ID == before.ID && t.State == before.State && t.Service == before.Service {
		return
	}
	event := eventlog.TargetReady
	switch t.State {
	case lifetime.Draining:
		event = eventlog.TargetDraining
	case lifetime.Gone, lifetime.Absent:
		event = eventlog.TargetNotReady
	}
	h.log.Write(event, zap.String("target", t.ID), zap.String("service", t.Service), zap.Int("slots", t.Slots),
		zap.Stringer("state", t.State), zap.String("before", before.ID), zap.Stringer("state-before", before.State))
	h.changed(t)
}

func (h *Handler) ignore(w http.ResponseWriter, id, reason string) {
	h.log.Write(eventlog.AnnouncementIgnored, zap.String("target", id), zap.String("reason", reason))
	w.WriteHeader(http.StatusBadRequest)
	writeEmpty(w)
}

func writeEmpty(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(struct{}{}) // a target that went away announces itself again
}
