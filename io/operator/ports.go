// Package operator is the admin interface of a node: operators ask for its state and drain it, and the target on the
// node's host announces itself.
//
// Server is an http.Handler over the small interfaces in Ports, which the node implements; it holds no state. Client
// is the other side, for the command line and for targets. The bodies are JSON with kebab-case keys, mapped by hand,
// so that a renamed field of the node never changes the protocol.
package operator

import (
	"context"
	"io"
	"net/netip"
	"time"

	"mustardmast"
)

// HeartbeatPeriod is how often a target repeats its announcement.
const HeartbeatPeriod = time.Second

// Status is what a node says about itself.
type Status struct {
	Name          string
	ID            mustardmast.NodeID
	FailureDomain string
	Region        string
	Generation    uint64 // in force; 0 without a configuration
	Alarm         string // for example that the platform shows an older generation; empty when there is none
	Services      []ServiceStatus
	Levels        []LevelStatus
	Load          mustardmast.Load
	Quarantined   int
	Draining      bool
}

// ServiceStatus counts the members that serve a service.
type ServiceStatus struct {
	Name    string
	Members map[mustardmast.MemberState]int
}

// LevelStatus is the admission level of one priority and backer.
type LevelStatus struct {
	Priority string
	Backer   string
	Level    mustardmast.Level
}

// Event is one step of a request at this node.
type Event struct {
	At     time.Time
	Name   string
	Detail string
}

// Explanation is what a node knows of one request.
type Explanation struct {
	RequestID string
	Outcome   string // executed, not-executed, unknown or pending
	Events    []Event
}

// Quarantined is a fingerprint of requests that crashed targets.
type Quarantined struct {
	Fingerprint string
	Method      string
	Backer      string
	Crashes     int
	Blocked     bool          // false: suspect, runs alone
	ExpiresIn   time.Duration // from now
}

// Announcement is what a target says about itself.
type Announcement struct {
	Address     netip.AddrPort
	Service     string
	Slots       uint32
	Connections uint32
	HealthPath  string
	LoadPath    string
	Draining    bool // false: ready
}

// StatusSource tells the state of the node.
type StatusSource interface {
	Status(now time.Time) Status
}

// Drainer makes the node's target leave. Drain returns once new calls are refused; calls in flight go on.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Explainer tells what the node knows of a request.
type Explainer interface {
	Explain(requestID string) (Explanation, bool)
}

// Quarantine lists and clears fingerprints of requests that crash targets.
type Quarantine interface {
	Entries(now time.Time) []Quarantined

	// Clear removes one fingerprint, or all if it is empty, and returns how many were removed.
	Clear(now time.Time, fingerprint string) int
}

// TargetRegistry takes announcements. An announcement that it refuses is answered with the error's kind.
type TargetRegistry interface {
	Announce(now time.Time, a Announcement) error
}

// Readiness tells whether the node takes calls, and why not.
type Readiness interface {
	Ready() (ready bool, reason string)
}

// MetricsSource writes metrics in the text format of Prometheus. *metrics.Set implements it.
type MetricsSource interface {
	WritePrometheus(w io.Writer)
}

// Ports are the parts of a node that the admin interface uses.
type Ports struct {
	Status     StatusSource
	Drain      Drainer
	Explain    Explainer
	Quarantine Quarantine
	Targets    TargetRegistry
	Readiness  Readiness
	Metrics    MetricsSource
}
