package dissemination

import (
	"cmp"
	"slices"
	"time"

	"mustardmast"
)

// WatchersPerDomain is the number of members of each failure domain that watch the platform.
const WatchersPerDomain = 2

// minHoldTime is how long the result of an election must hold before a node acts on it. It prevents nodes whose
// membership views have not converged from starting watches all over the fleet, and a new watcher starts before the old
// one stops.
const minHoldTime = 3 * time.Second

// ChooseWatchers returns the n members of a failure domain that watch the platform: those with the highest rendezvous
// hash, ready members first.
func ChooseWatchers(members []mustardmast.Member, n int) []mustardmast.NodeID {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b mustardmast.Member) int {
		if c := cmp.Compare(stateRank(a), stateRank(b)); c != 0 {
			return c
		}
		return cmp.Compare(mix64(uint64(b.ID)), mix64(uint64(a.ID)))
	})
	var out []mustardmast.NodeID
	for _, m := range sorted[:min(n, len(sorted))] {
		out = append(out, m.ID)
	}
	return out
}

func stateRank(m mustardmast.Member) int {
	switch m.State {
	case mustardmast.Ready:
		return 0
	case mustardmast.Joining:
		return 1
	default:
		return 2
	}
}

func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// WatchElection decides whether this node watches the platform. The zero value does not watch. It is not safe for
// concurrent use.
type WatchElection struct {
	watching  bool
	elected   bool
	changedAt time.Time // last change of elected
}

// Decide takes the current members of the node's failure domain and returns whether the node watches the platform.
func (w *WatchElection) Decide(now time.Time, self mustardmast.NodeID, members []mustardmast.Member) bool {
	elected := slices.Contains(ChooseWatchers(members, WatchersPerDomain), self)
	if elected != w.elected || w.changedAt.IsZero() {
		w.elected, w.changedAt = elected, now
	}
	if w.watching != w.elected && now.Sub(w.changedAt) >= minHoldTime {
		w.watching = w.elected
	}
	return w.watching
}
