package operator

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"mustardmast"
	"mustardmast/core/config"
	"mustardmast/core/fault"
)

var stateNames = map[mustardmast.MemberState]string{
	mustardmast.Joining: "joining", mustardmast.Ready: "ready", mustardmast.Draining: "draining",
	mustardmast.Suspect: "suspect", mustardmast.Unreachable: "unreachable", mustardmast.Left: "left",
}

type wireStatus struct {
	Node          string                    `json:"node"`
	ID            string                    `json:"id"` // hexadecimal, because many JSON parsers lose the precision of 64-bit numbers
	FailureDomain string                    `json:"failure-domain"`
	Region        string                    `json:"region"`
	Generation    uint64                    `json:"generation"`
	Alarm         string                    `json:"alarm,omitempty"`
	Services      map[string]map[string]int `json:"services"`
	Levels        []wireLevel               `json:"admission-levels"`
	Limit         uint32                    `json:"limit"`
	InFlight      uint32                    `json:"in-flight"`
	Queued        uint32                    `json:"queued"`
	Quarantined   int                       `json:"quarantined"`
	Draining      bool                      `json:"draining"`
}

type wireLevel struct {
	Priority string `json:"priority"`
	Backer   string `json:"backer"`
	Level    uint8  `json:"level"`
}

func statusToWire(s Status) wireStatus {
	w := wireStatus{Node: s.Name, ID: fmt.Sprintf("%016x", uint64(s.ID)), FailureDomain: s.FailureDomain, Region: s.Region,
		Generation: s.Generation, Alarm: s.Alarm, Services: map[string]map[string]int{}, Levels: []wireLevel{},
		Limit: s.Load.Limit, InFlight: s.Load.InFlight, Queued: s.Load.Queued, Quarantined: s.Quarantined, Draining: s.Draining}
	for _, v := range s.Services {
		states := map[string]int{}
		for state, n := range v.Members {
			states[stateNames[state]] = n
		}
		w.Services[v.Name] = states
	}
	for _, l := range s.Levels {
		w.Levels = append(w.Levels, wireLevel{Priority: l.Priority, Backer: l.Backer, Level: uint8(l.Level)})
	}
	return w
}

func statusFromWire(w wireStatus) (Status, error) {
	id, err := strconv.ParseUint(w.ID, 16, 64)
	if err != nil {
		return Status{}, fault.Newf(fault.Internal, "node id %q is not hexadecimal", w.ID)
	}
	s := Status{Name: w.Node, ID: mustardmast.NodeID(id), FailureDomain: w.FailureDomain, Region: w.Region,
		Generation: w.Generation, Alarm: w.Alarm, Quarantined: w.Quarantined, Draining: w.Draining,
		Load: mustardmast.Load{Limit: w.Limit, InFlight: w.InFlight, Queued: w.Queued}}
	for name, states := range w.Services {
		v := ServiceStatus{Name: name, Members: map[mustardmast.MemberState]int{}}
		for state, stateName := range stateNames {
			if n, ok := states[stateName]; ok {
				v.Members[state] = n
			}
		}
		s.Services = append(s.Services, v)
	}
	for _, l := range w.Levels {
		s.Levels = append(s.Levels, LevelStatus{Priority: l.Priority, Backer: l.Backer, Level: mustardmast.Level(l.Level)})
	}
	return s, nil
}

type wireExplanation struct {
	RequestID string      `json:"request-id"`
	Outcome   string      `json:"outcome"`
	Events    []wireEvent `json:"events"`
}

type wireEvent struct {
	At     time.Time `json:"at"`
	Name   string    `json:"what"`
	Detail string    `json:"detail,omitempty"`
}

func explanationToWire(e Explanation) wireExplanation {
	w := wireExplanation{RequestID: e.RequestID, Outcome: e.Outcome, Events: []wireEvent{}}
	for _, v := range e.Events {
		w.Events = append(w.Events, wireEvent{At: v.At.UTC(), Name: v.Name, Detail: v.Detail})
	}
	return w
}

func explanationFromWire(w wireExplanation) Explanation {
	e := Explanation{RequestID: w.RequestID, Outcome: w.Outcome}
	for _, v := range w.Events {
		e.Events = append(e.Events, Event(v))
	}
	return e
}

type wireQuarantined struct {
	Fingerprint string `json:"fingerprint"`
	Method      string `json:"method"`
	Backer      string `json:"backer"`
	Crashes     int    `json:"crashes"`
	State       string `json:"state"` // suspect or quarantined
	ExpiresMS   int64  `json:"expires-ms"`
}

func quarantinedToWire(entries []Quarantined) []wireQuarantined {
	out := []wireQuarantined{}
	for _, q := range entries {
		w := wireQuarantined{Fingerprint: q.Fingerprint, Method: q.Method, Backer: q.Backer, Crashes: q.Crashes,
			State: "suspect", ExpiresMS: q.ExpiresIn.Milliseconds()}
		if q.Blocked {
			w.State = "quarantined"
		}
		out = append(out, w)
	}
	return out
}

func quarantinedFromWire(entries []wireQuarantined) []Quarantined {
	out := make([]Quarantined, 0, len(entries))
	for _, w := range entries {
		out = append(out, Quarantined{Fingerprint: w.Fingerprint, Method: w.Method, Backer: w.Backer, Crashes: w.Crashes,
			Blocked: w.State == "quarantined", ExpiresIn: time.Duration(w.ExpiresMS) * time.Millisecond})
	}
	return out
}

type wireClearResponse struct {
	Cleared int `json:"cleared"`
}

type wireAnnouncement struct {
	Address     string `json:"address"`
	Service     string `json:"service"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	HealthPath  string `json:"health-path"`
	LoadPath    string `json:"load-path"`
	State       string `json:"state"`
}

type wireAnnounceResponse struct {
	HeartbeatMS int64 `json:"heartbeat-ms"`
}

func announcementToWire(a Announcement) wireAnnouncement {
	w := wireAnnouncement{Address: a.Address.String(), Service: a.Service, Slots: a.Slots, Connections: a.Connections,
		HealthPath: a.HealthPath, LoadPath: a.LoadPath, State: "ready"}
	if a.Draining {
		w.State = "draining"
	}
	return w
}

// announcementFromWire validates an announcement. The error lists all invalid fields.
func announcementFromWire(w wireAnnouncement) (Announcement, error) {
	var problems []string
	fail := func(key, value, allowed string) {
		problems = append(problems, fmt.Sprintf("%s is %q; allowed: %s", key, value, allowed))
	}
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		fail("address", w.Address, "an IP address and a port, for example 127.0.0.1:8080")
	}
	if !config.ValidName(w.Service) {
		fail("service", w.Service, config.NameRule)
	}
	if w.Slots < 1 || w.Slots > config.MaxSlots {
		fail("slots", strconv.FormatUint(uint64(w.Slots), 10), fmt.Sprintf("1 to %d", config.MaxSlots))
	}
	if w.Connections < 1 {
		fail("connections", "0", "at least 1")
	}
	for _, p := range [...][2]string{{"health-path", w.HealthPath}, {"load-path", w.LoadPath}} {
		if !strings.HasPrefix(p[1], "/") || len(p[1]) > 200 {
			fail(p[0], p[1], "a path that starts with /, at most 200 bytes")
		}
	}
	if w.State != "ready" && w.State != "draining" {
		fail("state", w.State, "ready or draining")
	}
	if len(problems) > 0 {
		return Announcement{}, fault.New(fault.BadRequest, strings.Join(problems, "; "))
	}
	return Announcement{Address: address, Service: w.Service, Slots: w.Slots, Connections: w.Connections,
		HealthPath: w.HealthPath, LoadPath: w.LoadPath, Draining: w.State == "draining"}, nil
}

// StateName returns the name of a member state as it appears in status responses.
func StateName(s mustardmast.MemberState) string { return stateNames[s] }
