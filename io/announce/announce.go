// Package announce handles the announcements (heartbeats and deregistrations) of the target on this host.
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

// maxBodyBytes is the maximum number of bytes that are read of an announcement.
const maxBodyBytes = 64 << 10

// Decoder decodes announcements.
type Decoder interface {
	// ParsePath returns the id of the target in the path of an announcement, and whether it is a deregistration. Ok is
	// false for any other path.
	ParsePath(path string) (id string, deregister, ok bool)
	// StartedMS returns the start time of the target that a message contains, in Unix milliseconds; 0 if it has none.
	StartedMS(raw []byte) int64
	// Decode decodes the body of a heartbeat.
	Decode(id string, raw []byte) (lifetime.Announcement, error)
}

// Handler is an http.Handler for announcements.
type Handler struct {
	decoder    Decoder
	tracker    *lifetime.Tracker
	controller *admission.Controller
	pool       *targetconn.Pool
	known      func(service string) bool
	changed    func(t lifetime.Target)
	log        *eventlog.Log
}

// New returns a handler. Known reports whether a service is part of the configuration. Changed is called after a change
// of the target's lifetime, service or state.
func New(d Decoder, t *lifetime.Tracker, ctrl *admission.Controller, p *targetconn.Pool, known func(string) bool, changed func(lifetime.Target), l *eventlog.Log) *Handler {
	return &Handler{decoder: d, tracker: t, controller: ctrl, pool: p, known: known, changed: changed, log: l}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, deregister, ok := h.decoder.ParsePath(r.URL.Path)
	if !ok || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	before := h.tracker.Target()
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if deregister { // even if the body is malformed
		h.tracker.Deregister(lifetime.Deregistration{ID: id, StartedMS: h.decoder.StartedMS(raw), Received: time.Now()})
		h.reportChange(before)
		writeEmpty(w)
		return
	}
	if err != nil {
		h.reject(w, id, err.Error())
		return
	}
	a, err := h.decoder.Decode(id, raw)
	if err != nil {
		h.reject(w, id, err.Error())
		return
	}
	if !h.known(a.Service) {
		h.reject(w, id, "unknown service "+a.Service)
		return
	}
	h.accept(before, a)
	writeEmpty(w)
}

func (h *Handler) accept(before lifetime.Target, a lifetime.Announcement) {
	now := time.Now()
	if !h.tracker.Announce(a) {
		h.log.Write(eventlog.AnnouncementIgnored, zap.String("target", a.ID), zap.String("reason", "superseded by a newer announcement, or for another address"),
			zap.Int64("sequence", a.Sequence), zap.Int64("started-ms", a.StartedMS))
		return
	}
	replaced := before.ID != a.ID || before.StartedMS != 0 && before.StartedMS != a.StartedMS // or started again
	if replaced {
		h.pool.CloseIdle()
		h.controller.TargetReplaced()
		if a.WarmUp > 0 {
			h.controller.TargetRestarted()
		}
	}
	if before.Slots != a.Slots || replaced {
		h.controller.SetSlots(now, a.Slots)
	}
	h.reportChange(before)
}

// reportChange logs a change of the target's lifetime, service or state and calls changed.
func (h *Handler) reportChange(before lifetime.Target) {
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

func (h *Handler) reject(w http.ResponseWriter, id, reason string) {
	h.log.Write(eventlog.AnnouncementIgnored, zap.String("target", id), zap.String("reason", reason))
	w.WriteHeader(http.StatusBadRequest)
	writeEmpty(w)
}

func writeEmpty(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(struct{}{}) // fails only if the target has disconnected; its next heartbeat follows
}
