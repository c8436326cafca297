package sidecar

import (
	"sync/atomic"

	"go.uber.org/zap"

	"mustardmast/core/lifetime"
	"mustardmast/io/eventlog"
	"mustardmast/io/fleet"
)

// targetNews tells the other nodes what becomes of the target on this host.
type targetNews struct {
	fleet   *fleet.Fleet
	tracker *lifetime.Tracker
	log     *eventlog.Log
	leaving atomic.Bool // the node takes no more work for its target
	closing atomic.Bool // nor new requests of clients
}

func newTargetNews(f *fleet.Fleet, t *lifetime.Tracker, l *eventlog.Log) *targetNews {
	return &targetNews{fleet: f, tracker: t, log: l}
}

// changed takes a change of the target's service or state.
func (n *targetNews) changed(t lifetime.Target) {
	n.fleet.UpdateSelf(t.Service, t.State == lifetime.Ready && !n.leaving.Load())
}

// lost takes the news that a lifetime accepts no connections or has been replaced.
func (n *targetNews) lost(id string, err error) {
	n.log.Write(eventlog.TargetLost, zap.String("target", id), zap.Error(err))
	n.changed(n.tracker.Target())
}
