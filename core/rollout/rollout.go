// Package rollout keeps the configuration generation that is in force on a node.
//
// Generations are mustardmast's own counter. A Rollout only ever moves to a higher one. An offer of a lower generation
// by the platform means that the platform was restored to an older state; the same generation with another change id
// means that two changes were numbered alike. Both raise an alarm and change nothing.
//
// A starting node asks the platform and its peers. It may serve once it has a configuration and either all of them have
// responded, or two seconds have passed since the first one that had a configuration did: one slow source must not
// keep a node from serving, and one that lags must not make it serve an old text while better ones are about to
// respond.
package rollout

import (
	"sync"
	"time"
)

// Grace is how long a starting node waits for other sources after the first configuration.
const Grace = 2 * time.Second

// Source is where an offer came from.
type Source uint8

// Sources.
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

// Version names one configuration. Generation 0 is no configuration.
type Version struct {
	Generation uint64
	ChangeID   string
}

// AlarmKind says what is wrong with an offer.
type AlarmKind uint8

// Kinds of alarms.
const (
	LowerGeneration AlarmKind = iota + 1 // the source has a lower generation than the one in force
	Conflict                             // the same generation with another change id
	Unreadable                           // a newer generation whose text this node cannot use
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

// Alarm is something an operator must look at. The zero value is no alarm.
type Alarm struct {
	Kind   AlarmKind
	Source Source
	Seen   Version
	Kept   Version
}

// Rollout is the generation in force on one node. It is safe for concurrent use.
type Rollout struct {
	offers sync.Mutex // held during Offer, so that the others do not wait for install

	mu       sync.Mutex
	current  Version
	rejected Version
	waiting  int
	first    time.Time
	raised   map[AlarmKind]Version
}

// New returns a rollout without a configuration that has asked a number of sources.
func New(asked int) *Rollout {
	return &Rollout{waiting: asked, raised: map[AlarmKind]Version{}}
}

// Current returns the version in force.
func (r *Rollout) Current() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// ShouldInstall says whether a version would be installed.
func (r *Rollout) ShouldInstall(v Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wants(v)
}

func (r *Rollout) wants(v Version) bool {
	return v.Generation > r.current.Generation && v != r.rejected
}

// Offer takes a version with its text. If the version is newer it is put in force by install, which must return an
// error if it cannot use the text; nothing changes then. Offers are handled one at a time. The alarm is the zero value
// if there is none or if it was raised for this version before.
func (r *Rollout) Offer(s Source, v Version, install func() error) (installed bool, a Alarm) {
	r.offers.Lock()
	defer r.offers.Unlock()
	wanted := r.ShouldInstall(v)
	var err error
	if wanted {
		err = install()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !wanted:
		return false, r.judge(s, v)
	case err != nil:
		r.rejected = v
		return false, r.raise(Alarm{Kind: Unreadable, Source: s, Seen: v, Kept: r.current})
	default:
		r.current = v
		return true, Alarm{}
	}
}

// judge compares an offer with the version in force. A peer that lags behind is normal; the platform never is.
func (r *Rollout) judge(s Source, v Version) Alarm {
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

func (r *Rollout) raise(a Alarm) Alarm {
	if r.raised[a.Kind] == a.Seen {
		return Alarm{}
	}
	r.raised[a.Kind] = a.Seen
	return a
}

// SourceResponded ends the wait for one of the sources that were asked at the start. A source that fails has responded too,
// with nothing.
func (r *Rollout) SourceResponded(now time.Time, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	if generation > 0 && r.first.IsZero() {
		r.first = now
	}
}

// Ready says whether the node may serve.
func (r *Rollout) Ready(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Generation == 0 {
		return false
	}
	return r.waiting <= 0 || !r.first.IsZero() && now.Sub(r.first) >= Grace
}
