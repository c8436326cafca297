package measure

import (
	"time"

	"mustardmast"
	"mustardmast/core/balance"
	"mustardmast/core/call"
)

// roundRobin is the picker of the two baselines.
type roundRobin struct{ next map[string]int }

func (p *roundRobin) Pick(_ time.Time, c call.Call, candidates []mustardmast.Member, _ []mustardmast.NodeID) (mustardmast.Member, bool) {
	if len(candidates) == 0 {
		return mustardmast.Member{}, false
	}
	p.next[c.Service()]++
	return candidates[p.next[c.Service()]%len(candidates)], true
}

func (p *roundRobin) Done(time.Time, mustardmast.Result) {}

func (p *roundRobin) HedgeAfter(time.Time, call.Call) (time.Duration, bool) { return 0, false }

func newPicker(v variant, seed uint64) mustardmast.Picker {
	if v != fullControl {
		return &roundRobin{next: map[string]int{}}
	}
	return balance.New(balance.Self{ID: mustardmast.NodeID(seed)}, seed, balance.Defaults())
}
