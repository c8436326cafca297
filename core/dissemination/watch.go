package dissemination

import (
	"cmp"
	"slices"
	"time"

	"mustardmast"
)

// WatchersPerDomain is how many members of each failure domain watch the platform.
const WatchersPerDomain = 2

// settle is how long a choice must hold before it is acted on. It keeps views that have not converged from starting
// watches all over the fleet, and lets a new watcher start before the old one stops.
const settle = 3 * time.Second

// ChooseWatchers returns the members of a failure domain that watch the platform: those with the highest rendezvous hash, ready
// ones first.
func ChooseWatchers(members []mustardmast.Member, n int) []mustardmast.NodeID {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b mustardmast.Member) int {
		if c := cmp.Compare(rank(a), rank(b)); c != 0 {
			return c
		}
		return cmp.Compare(mix(uint64(b.ID)), mix(uint64(a.ID)))
	})
	var out []mustardmast.NodeID
	for _, m := range sorted[:min(n, len(sorted))] {
		out = append(out, m.ID)
	}
	return out
}

func rank(m mustardmast.Member) int {
	switch m.State {
	case mustardmast.Ready:
		return 0
	case mustardmast.Joining:
		return 1
	default:
		return 2
	}
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// WatchElection says whether this node watches the platform. The zero value does not. It is not safe for concurrent use.
type WatchElection struct {
	on      bool
	chosen  bool
	changed time.Time
}

// Decide takes the current members of the own failure domain and returns whether to watch.
func (w *WatchElection) Decide(now time.Time, self mustardmast.NodeID, members []mustardmast.Member) bool {
	chosen := slices.Contains(ChooseWatchers(members, WatchersPerDomain), self)
	if chosen != w.chosen || w.changed.IsZero() {
		w.chosen, w.changed = chosen, now
	}
	if w.on != w.chosen && now.Sub(w.changed) >= settle {
		w.on = w.chosen
	}
	return w.on
}
