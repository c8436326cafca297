package balance

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
)

// subset returns the indexes of at most size candidates: half from the own failure domain if it has that many, the
// rest in turns from the others. Within a domain the highest rendezvous scores win.
func subset(own Self, service string, candidates []mustardmast.Member, size int) []int {
	groups := map[string][]int{}
	for i := range candidates {
		if usable(candidates[i].State) {
			d := candidates[i].FailureDomain
			groups[d] = append(groups[d], i)
		}
	}
	seed := xxhash.Sum64String(service) ^ mix(uint64(own.ID))
	score := func(i int) uint64 { return mix(seed ^ uint64(candidates[i].ID)) }
	others := make([]string, 0, len(groups))
	for d, l := range groups {
		sort.Slice(l, func(a, b int) bool { return score(l[a]) > score(l[b]) })
		if d != own.FailureDomain {
			others = append(others, d)
		}
	}
	// The order of the other domains differs between nodes, so that remainders do not all fall on one domain.
	sort.Slice(others, func(a, b int) bool {
		return mix(seed^xxhash.Sum64String(others[a])) > mix(seed^xxhash.Sum64String(others[b]))
	})
	local := groups[own.FailureDomain]
	half := min((size+1)/2, len(local))
	picked := append(make([]int, 0, size), local[:half]...)
	picked = inTurns(picked, groups, others, size)
	for _, i := range local[half:] {
		if len(picked) == size {
			break
		}
		picked = append(picked, i)
	}
	return picked
}

// inTurns takes one member of each domain at a time until size is reached or all are taken.
func inTurns(picked []int, groups map[string][]int, domains []string, size int) []int {
	for round := 0; ; round++ {
		before := len(picked)
		for _, d := range domains {
			if len(picked) == size {
				return picked
			}
			if l := groups[d]; round < len(l) {
				picked = append(picked, l[round])
			}
		}
		if len(picked) == before {
			return picked
		}
	}
}

// usable states are those that the directory may offer; the others are refused even if an old list has them.
func usable(s mustardmast.MemberState) bool {
	return s != mustardmast.Draining && s != mustardmast.Unreachable && s != mustardmast.Left
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// signature changes when any part of the candidates that the subset depends on does.
func signature(candidates []mustardmast.Member) uint64 {
	h := uint64(len(candidates))
	for i := range candidates {
		h = mix(h ^ uint64(candidates[i].ID) ^ uint64(candidates[i].State)<<56 ^ uint64(candidates[i].Slots)<<24)
	}
	return h
}
