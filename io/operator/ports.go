// Package operator implements the admin interface of a node, through which operators query its status and drain it, and
// the target on the node's host announces itself.
//
// Server is a stateless http.Handler on top of the interfaces in Ports, which the node implements. Client is used by
// the command line and by targets. Bodies are JSON with kebab-case keys. They are mapped to separate wire types, so
// that renaming a field of the node does not change the protocol.
package operator

import (
	"context"
	"io"
	"net/netip"
	"time"

	"mustardmast"
)

// HeartbeatPeriod is the interval at which a target repeats its announcement.
const HeartbeatPeriod = time.Second

// Status is the status that a node reports.
type Status struct {
	Name          string
	ID            mustardmast.NodeID
	FailureDomain string
	Region        string
	Generation    uint64 // of the configuration in force; 0 if there is none
	Alarm         string // for example that the platform has an older generation; empty if there is none
	Services      []ServiceStatus
	Levels        []LevelStatus
	Load          mustardmast.Load
	Quarantined   int
	Draining      bool
}

// ServiceStatus is the number of members that serve a service, by member state.
type ServiceStatus struct {
	Name    string
	Members map[mustardmast.MemberState]int
}

// LevelStatus is the admission level of a priority and backer.
type LevelStatus struct {
	Priority string
	Backer   string
	Level    mustardmast.Level
}

// Event is a step in the processing of a request at a node.
type Event struct {
	At     time.Time
	Name   string
	Detail string
}

// Explanation is the record that a node has of a request.
type Explanation struct {
	RequestID string
	Outcome   string // executed, not-executed, unknown or pending
	Events    []Event
}

// Quarantined is the fingerprint of requests that crashed targets, with its state.
type Quarantined struct {
	Fingerprint string
	Method      string
	Backer      string
	Crashes     int
	Blocked     bool          // if false, the fingerprint is suspect and its requests run alone
	ExpiresIn   time.Duration // from now
}

// Announcement describes a target. A target sends it to the node on its host.
type Announcement struct {
	Address     netip.AddrPort
	Service     string
	Slots       uint32
	Connections uint32
	HealthPath  string
	LoadPath    string
	Draining    bool // false: ready
}

// StatusSource returns the status of the node.
type StatusSource interface {
	Status(now time.Time) Status
}

// Drainer drains the node's target. Drain returns as soon as new calls are rejected; calls in flight run to completion.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Explainer returns the record of a request, and false if the node has none.
type Explainer interface {
	Explain(requestID string) (Explanation, bool)
}

// Quarantine lists and removes fingerprints of requests that crash targets.
type Quarantine interface {
	Entries(now time.Time) []Quarantined

	// Clear removes the fingerprint, or all if it is empty, and returns the number removed.
	Clear(now time.Time, fingerprint string) int
}

// TargetRegistry receives announcements. If it returns an error, the response has the kind of that error.
type TargetRegistry interface {
	Announce(now time.Time, a Announcement) error
}

// Readiness reports whether the node accepts calls, and the reason if it does not.
type Readiness interface {
	Ready() (ready bool, reason string)
}

// MetricsSource writes metrics in the Prometheus text format. *metrics.Set implements it.
type MetricsSource interface {
	WritePrometheus(w io.Writer)
}

// Ports are the interfaces through which the server accesses the node.
type Ports struct {
	Status     StatusSource
	Drain      Drainer
	Explain    Explainer
	Quarantine Quarantine
	Targets    TargetRegistry
	Readiness  Readiness
	Metrics    MetricsSource
}
