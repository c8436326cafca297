package sidecar

import (
	"sync/atomic"

	"go.uber.org/zap"

	"mustardmast/core/lifetime"
	"mustardmast/io/eventlog"
	"mustardmast/io/fleet"
)

// targetReporter reports changes of the target on this host to the other nodes.
type targetReporter struct {
	fleet    *fleet.Fleet
	tracker  *lifetime.Tracker
	log      *eventlog.Log
	draining atomic.Bool // a planned stop is in progress; no more calls are accepted for the target
}

func newTargetReporter(f *fleet.Fleet, t *lifetime.Tracker, l *eventlog.Log) *targetReporter {
	return &targetReporter{fleet: f, tracker: t, log: l}
}

// targetChanged reports a change of the target's service or state.
func (r *targetReporter) targetChanged(t lifetime.Target) {
	r.fleet.UpdateSelf(t.Service, t.State == lifetime.Ready && !r.draining.Load())
}

// targetLost reports that the lifetime id accepts no connections or has been replaced.
func (r *targetReporter) targetLost(id string, err error) {
	r.log.Write(eventlog.TargetLost, zap.String("target", id), zap.Error(err))
	r.targetChanged(r.tracker.Target())
}

// targetLeaving reports that a response of the lifetime id has stated that it is shutting down.
func (r *targetReporter) targetLeaving(id string) {
	r.log.Write(eventlog.TargetDraining, zap.String("target", id), zap.String("from", "response"))
	r.targetChanged(r.tracker.Target())
}
