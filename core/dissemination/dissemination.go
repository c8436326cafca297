// Package dissemination decides how a new configuration generation is disseminated to all nodes.
//
// A node that installs a newer generation notifies four random members at once, and each of them pulls it and does the
// same. All other datagrams carry the generation too, which reaches the nodes that no notification reached. Changes in
// quick succession are coalesced: one pull is in progress, it requests the newest generation, and notifications are
// rate-limited and name only the newest generation. While a pull does not end, as through a cut that datagrams of the
// source pass in the other direction, others are started from other sources.
//
// A Disseminator keeps at most maxSources sources of the newest known generation. A source that fails is dropped.
package dissemination

import (
	"slices"
	"sync"
	"time"

	"mustardmast"
)

// Parameters of the protocol.
const (
	Fanout         = 4                      // random members that a node notifies of a new generation
	notifyInterval = 500 * time.Millisecond // minimum time between two notifications of a node
	maxSources     = 4
	maxPulls       = 4                      // in progress at a time
	nextPullDelay  = 500 * time.Millisecond // from the start of a pull that does not end to that of the next one
	minBackoff     = 200 * time.Millisecond // wait after the first failed pull; it doubles with each further one
	maxBackoff     = time.Minute            // bounds the load of a node that cannot use a text and pulls it again and again
)

// Output is what an event requires the caller to do.
type Output struct {
	Pull   mustardmast.NodeID // member to pull the configuration from; 0 for none
	Notify int                // number of random members to notify
}

// Disseminator is the dissemination state of one node. It is safe for concurrent use.
type Disseminator struct {
	mu            sync.Mutex
	installed     uint64
	newest        uint64               // generation known, installed or not
	sources       []mustardmast.NodeID // members that have the newest generation, without those in pulls
	pulls         []mustardmast.NodeID // members from which a pull is in progress
	pulledAt      time.Time            // start of the last pull
	retryAt       time.Time            // end of the backoff after a failed pull
	backoff       time.Duration
	notifiedAt    time.Time
	notifyPending bool // the notification of the installed generation is delayed by notifyInterval
}

// New returns the state of a node without a configuration.
func New() *Disseminator { return &Disseminator{} }

// Learned records that the member from has a generation. Generations older than the newest known one are ignored.
func (d *Disseminator) Learned(now time.Time, generation uint64, from mustardmast.NodeID) Output {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case generation <= d.installed || generation < d.newest:
		return Output{}
	case generation > d.newest:
		d.newest, d.sources = generation, d.sources[:0]
		d.backoff, d.retryAt = minBackoff, time.Time{}
	}
	if len(d.sources) < maxSources && !slices.Contains(d.sources, from) && !slices.Contains(d.pulls, from) {
		d.sources = append(d.sources, from)
	}
	return d.startPull(now)
}

// startPull starts a pull if one is needed, those in progress do not end, and the backoff after a failure is over.
func (d *Disseminator) startPull(now time.Time) Output {
	if d.newest <= d.installed || len(d.sources) == 0 || now.Before(d.retryAt) {
		return Output{}
	}
	if len(d.pulls) >= maxPulls || len(d.pulls) > 0 && now.Sub(d.pulledAt) < nextPullDelay {
		return Output{}
	}
	from := d.sources[0]
	d.sources = slices.Delete(d.sources, 0, 1)
	d.pulls, d.pulledAt = append(d.pulls, from), now
	return Output{Pull: from}
}

// Installed records that a generation has been installed at this node, from any source.
func (d *Disseminator) Installed(now time.Time, generation uint64) Output {
	d.mu.Lock()
	defer d.mu.Unlock()
	if generation <= d.installed {
		return Output{}
	}
	d.installed = generation
	d.newest = max(d.newest, generation)
	d.notifyPending = true
	return d.notify(now)
}

// notify returns the pending notification, if notifyInterval has passed since the last one.
func (d *Disseminator) notify(now time.Time) Output {
	if !d.notifyPending || now.Sub(d.notifiedAt) < notifyInterval {
		return Output{}
	}
	d.notifyPending, d.notifiedAt = false, now
	return Output{Notify: Fanout}
}

// Pulled records the end of a pull. If the generation sought is still not installed, the source is dropped; datagrams
// from other members add new ones.
func (d *Disseminator) Pulled(now time.Time, from mustardmast.NodeID) Output {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pulls = slices.DeleteFunc(d.pulls, func(id mustardmast.NodeID) bool { return id == from })
	if d.newest <= d.installed {
		d.sources = d.sources[:0]
		return Output{}
	}
	d.retryAt = now.Add(d.backoff)
	d.backoff = min(2*d.backoff, maxBackoff)
	return Output{}
}

// Tick starts a pull or notification that has been delayed.
func (d *Disseminator) Tick(now time.Time) Output {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.startPull(now)
	out.Notify = d.notify(now).Notify
	return out
}
