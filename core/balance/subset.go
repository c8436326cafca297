package balance

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
)

// chooseSubset returns the indexes of at most size candidates: half from the local failure domain if it has that many,
// the rest from the other domains in round robin. Within a domain the highest rendezvous scores win.
func chooseSubset(self Self, service string, candidates []mustardmast.Member, size int) []int {
	groups := map[string][]int{}
	for i := range candidates {
		if selectable(candidates[i].State) {
			d := candidates[i].FailureDomain
			groups[d] = append(groups[d], i)
		}
	}
	seed := xxhash.Sum64String(service) ^ mix64(uint64(self.ID))
	score := func(i int) uint64 { return mix64(seed ^ uint64(candidates[i].ID)) }
	others := make([]string, 0, len(groups))
	for d, l := range groups {
		sort.Slice(l, func(a, b int) bool { return score(l[a]) > score(l[b]) })
		if d != self.FailureDomain {
			others = append(others, d)
		}
	}
	// The order of the other domains differs between nodes, so that the remainders of the division do not all go to one
	// of them.
	sort.Slice(others, func(a, b int) bool {
		return mix64(seed^xxhash.Sum64String(others[a])) > mix64(seed^xxhash.Sum64String(others[b]))
	})
	local := groups[self.FailureDomain]
	half := min((size+1)/2, len(local))
	picked := append(make([]int, 0, size), local[:half]...)
	picked = roundRobin(picked, groups, others, size)
	for _, i := range local[half:] {
		if len(picked) == size {
			break
		}
		picked = append(picked, i)
	}
	return picked
}

// roundRobin appends one member of each domain at a time until size is reached or all members are taken.
func roundRobin(picked []int, groups map[string][]int, domains []string, size int) []int {
	for round := 0; ; round++ {
		previous := len(picked)
		for _, d := range domains {
			if len(picked) == size {
				return picked
			}
			if l := groups[d]; round < len(l) {
				picked = append(picked, l[round])
			}
		}
		if len(picked) == previous {
			return picked
		}
	}
}

// selectable reports whether the directory may offer members in this state. The other states are excluded even if a
// stale list contains them.
func selectable(s mustardmast.MemberState) bool {
	return s != mustardmast.Draining && s != mustardmast.Unreachable && s != mustardmast.Left
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashCandidates returns a hash of everything in candidates that the subset depends on.
func hashCandidates(candidates []mustardmast.Member) uint64 {
	h := uint64(len(candidates))
	for i := range candidates {
		h = mix64(h ^ uint64(candidates[i].ID) ^ uint64(candidates[i].State)<<56 ^ uint64(candidates[i].Slots)<<24)
	}
	return h
}
