// Package rollout decides which configuration generation is in force on a node.
//
// Generations are numbered by mustardmast, and a Rollout only moves to higher ones. If the platform offers a lower
// generation, it was restored to an older state. If a source offers the same generation with another change ID, two
// changes were given the same number. Both cases raise an alarm and leave the configuration in force.
//
// A starting node queries the platform and its peers. It is ready to serve once it has a configuration and either all
// sources have responded, or Grace has passed since the first response with a configuration. One slow source must not
// keep a node from serving, and one that lags must not make it serve an old configuration while newer ones are about to
// arrive.
package rollout

import (
	"sync"
	"time"
)

// Grace is how long a starting node waits for other sources after the first response with a configuration.
const Grace = 2 * time.Second

// Source is the origin of an offer.
type Source uint8

// Sources of offers.
const (
	Platform Source = iota
	Peer
)

// String returns the name used in logs.
func (s Source) String() string {
	if s == Platform {
		return "platform"
	}
	return "peer"
}

// Version identifies a configuration. Generation 0 means no configuration.
type Version struct {
	Generation uint64
	ChangeID   string
}

// AlarmKind is the reason for an alarm.
type AlarmKind uint8

// Kinds of alarms.
const (
	LowerGeneration AlarmKind = iota + 1 // the source has a lower generation than the one in force
	Conflict                             // the same generation with another change ID
	Unreadable                           // a newer generation whose text this node could not install
)

// String returns the name used in logs.
func (k AlarmKind) String() string {
	switch k {
	case LowerGeneration:
		return "generation-lower"
	case Conflict:
		return "generation-conflict"
	case Unreadable:
		return "generation-unreadable"
	default:
		return "none"
	}
}

// Alarm reports an offer that needs an operator's attention. The zero value means no alarm.
type Alarm struct {
	Kind   AlarmKind
	Source Source
	Seen   Version // the version offered
	Kept   Version // the version that stays in force
}

// Rollout tracks the version in force on one node. It is safe for concurrent use.
type Rollout struct {
	offers sync.Mutex // held during Offer, so that other methods do not wait for install

	mu             sync.Mutex
	current        Version
	rejected       Version // the last version that failed to install
	pendingSources int     // sources queried at the start that have not responded
	firstConfigAt  time.Time
	raised         map[AlarmKind]Version // the version of the last alarm of each kind
}

// New returns a Rollout without a configuration. The node queries the given number of sources at its start.
func New(sources int) *Rollout {
	return &Rollout{pendingSources: sources, raised: map[AlarmKind]Version{}}
}

// Current returns the version in force.
func (r *Rollout) Current() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// ShouldInstall reports whether a version is newer than the one in force and is not the one last rejected.
func (r *Rollout) ShouldInstall(v Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shouldInstall(v)
}

func (r *Rollout) shouldInstall(v Version) bool {
	return v.Generation > r.current.Generation && v != r.rejected
}

// Offer calls install if ShouldInstall reports true for the version. If install returns an error, the version is
// rejected and the one in force stays. Offers are handled one at a time. The alarm is the zero value if there is none,
// or if the last alarm of its kind was for the same version.
func (r *Rollout) Offer(s Source, v Version, install func() error) (installed bool, a Alarm) {
	r.offers.Lock()
	defer r.offers.Unlock()
	installable := r.ShouldInstall(v)
	var err error
	if installable {
		err = install()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !installable:
		return false, r.checkStale(s, v)
	case err != nil:
		r.rejected = v
		return false, r.raise(Alarm{Kind: Unreadable, Source: s, Seen: v, Kept: r.current})
	default:
		r.current = v
		return true, Alarm{}
	}
}

// checkStale raises an alarm for an offer that conflicts with the version in force. A peer may lag behind, but the
// platform must not.
func (r *Rollout) checkStale(s Source, v Version) Alarm {
	a := Alarm{Source: s, Seen: v, Kept: r.current}
	switch {
	case v.Generation == r.current.Generation && v.ChangeID != r.current.ChangeID:
		a.Kind = Conflict
	case v.Generation < r.current.Generation && s == Platform:
		a.Kind = LowerGeneration
	default:
		return Alarm{}
	}
	return r.raise(a)
}

// raise returns the alarm, or the zero value if it was raised for the same version before.
func (r *Rollout) raise(a Alarm) Alarm {
	if r.raised[a.Kind] == a.Seen {
		return Alarm{}
	}
	r.raised[a.Kind] = a.Seen
	return a
}

// SourceResponded records a response of one of the sources that were queried at the start. A failure counts as a
// response without a configuration, generation 0.
func (r *Rollout) SourceResponded(now time.Time, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingSources--
	if generation > 0 && r.firstConfigAt.IsZero() {
		r.firstConfigAt = now
	}
}

// Ready reports whether the node may serve.
func (r *Rollout) Ready(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Generation == 0 {
		return false
	}
	return r.pendingSources <= 0 || !r.firstConfigAt.IsZero() && now.Sub(r.firstConfigAt) >= Grace
}
