package measure

import (
	"math/rand/v2"
	"time"

	"mustardmast"
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
	latency  float64 // seconds, moving average that rises at once
	at       time.Time
	answered time.Time
	since    time.Time // first send without an answer since
}

// tail estimates the p95 latency of a service.
type tail struct{ p95 float64 }

func newPicker(v variant, seed uint64) mustardmast.Picker {
	if v != fullControl {
		return &roundRobin{next: map[string]int{}}
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
		if !p.silent(now, a.ID, t) {
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

// silent reports whether a member has calls in flight and has answered none for three times the p95.
func (p *twoChoices) silent(now time.Time, id mustardmast.NodeID, t *tail) bool {
	s := p.of(id)
	return t != nil && s.inFlight > 0 && now.Sub(s.since).Seconds() > 2*t.p95
}

func (p *twoChoices) cost(now time.Time, id mustardmast.NodeID, t *tail) float64 {
	s := p.of(id)
	c := (s.latency + 1e-3) * float64(s.inFlight+1)
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
		t = &tail{p95: 2 * v}
		p.tails[r.Service] = t
	}
	if v > t.p95 { // moves up 19 times as far as down, so it rests where 1 in 20 is above
		t.p95 += t.p95 * 0.019
	} else {
		t.p95 -= t.p95 * 0.001
	}
}

func (p *twoChoices) HedgeAfter(_ time.Time, c call.Call) (time.Duration, bool) {
	t := p.tails[c.Service()]
	if t == nil || !c.Idempotent() || c.Long() {
		return 0, false
	}
	return time.Duration(t.p95 * float64(time.Second)), true
}
