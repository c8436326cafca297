package measure

import (
	"math/rand/v2"
	"os"
	"time"

	"mustardmast"
	"mustardmast/core/balance"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// roundRobin is the picker of the variants without control.
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

// twoChoices takes the better of two random members by calls in flight and peak latency. It stands in for
// core/balance.
type twoChoices struct {
	rand    *rand.Rand
	members map[mustardmast.NodeID]*seen
	tails   map[string]*tail
}

type seen struct {
	inFlight int
	latency  float64   // seconds, moving average that rises at once
	since    time.Time // start of the present time without an answer
	queued   float64   // last report, in relation to the limit
	avoid    time.Time // end of the time in which a member that refused is not chosen
}

// tail estimates the mean and the p99 of the latency of a service. Hedges start at the p99: at the p95 they would use up
// their budget on calls that are merely slow and leave nothing for a stall.
type tail struct{ mean, p99 float64 }

const avoidFor = 200 * time.Millisecond

func newPicker(v variant, seed uint64) mustardmast.Picker {
	if v != fullControl {
		return &roundRobin{next: map[string]int{}}
	}
	if os.Getenv("BAL") != "" {
		return balance.New(balance.Own{ID: mustardmast.NodeID(seed), FailureDomain: ""}, seed, balance.Defaults())
	}
	return &twoChoices{rand: rand.New(rand.NewPCG(seed, 3)), members: map[mustardmast.NodeID]*seen{}, tails: map[string]*tail{}}
}

func (p *twoChoices) of(id mustardmast.NodeID) *seen {
	s := p.members[id]
	if s == nil {
		s = &seen{}
		p.members[id] = s
	}
	return s
}

func (p *twoChoices) Pick(now time.Time, c call.Call, candidates []mustardmast.Member, tried []mustardmast.NodeID) (mustardmast.Member, bool) {
	var open []mustardmast.Member
	for _, m := range candidates {
		if !contains(tried, m.ID) {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		open = candidates
	}
	if len(open) == 0 {
		return mustardmast.Member{}, false
	}
	t := p.tails[c.Service()]
	a := open[p.rand.IntN(len(open))]
	b := open[p.rand.IntN(len(open))]
	for range 2 { // a silent member is passed over when another is found
		if !p.silent(now, a.ID, t) && !now.Before(p.of(a.ID).avoid) {
			break
		}
		a = open[p.rand.IntN(len(open))]
	}
	if p.cost(now, b.ID, t) < p.cost(now, a.ID, t) {
		a = b
	}
	s := p.of(a.ID)
	if s.inFlight == 0 {
		s.since = now
	}
	s.inFlight++
	return a, true
}

func contains(ids []mustardmast.NodeID, id mustardmast.NodeID) bool {
	for _, t := range ids {
		if t == id {
			return true
		}
	}
	return false
}

// silent reports whether a member has answered nothing for many times the usual gap between two of its answers.
func (p *twoChoices) silent(now time.Time, id mustardmast.NodeID, t *tail) bool {
	s := p.of(id)
	return t != nil && s.inFlight > 0 && now.Sub(s.since).Seconds() > 5*t.mean/float64(s.inFlight)+0.02
}

func (p *twoChoices) cost(now time.Time, id mustardmast.NodeID, t *tail) float64 {
	s := p.of(id)
	// The square keeps a member that is ten times slower from getting one call in a hundred, which would be the p99.
	c := (s.latency + 1e-3) * (s.latency + 1e-3) * float64(s.inFlight+1) * (1 + 4*s.queued)
	if now.Before(s.avoid) {
		c *= 100
	}
	if p.silent(now, id, t) {
		c *= 1000
	}
	return c
}

func (p *twoChoices) Done(now time.Time, r mustardmast.Result) {
	s := p.of(r.Member)
	s.inFlight = max(s.inFlight-1, 0)
	if r.Kind == fault.Canceled {
		return
	}
	if r.HasLoad {
		s.queued = float64(r.Load.Queued) / float64(r.Load.Limit)
	}
	if r.Kind == fault.QueueFull && r.Load.Limit <= 1 {
		// A stalled member has few calls in flight and would attract all of them. A busy one is not avoided, because all
		// senders would avoid it at the same time.
		s.avoid = now.Add(avoidFor)
		return
	}
	s.since = now
	v := r.Latency.Seconds()
	if r.Kind != fault.None {
		v = max(v, s.latency) // a fast refusal is no sign of speed
	}
	s.latency += (v - s.latency) * 0.1
	if r.Kind != fault.None {
		return
	}
	t := p.tails[r.Service]
	if t == nil {
		t = &tail{mean: v, p99: 3 * v}
		p.tails[r.Service] = t
	}
	t.mean += (v - t.mean) * 0.01
	if v > t.p99 { // moves up 99 times as far as down, so it rests where 1 in 100 is above
		t.p99 += t.p99 * 0.0495
	} else {
		t.p99 -= t.p99 * 0.0005
	}
}

func (p *twoChoices) HedgeAfter(_ time.Time, c call.Call) (time.Duration, bool) {
	t := p.tails[c.Service()]
	if t == nil || !c.Idempotent() || c.Long() {
		return 0, false
	}
	return time.Duration(t.p99 * float64(time.Second)), true
}
