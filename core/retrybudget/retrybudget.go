// Package retrybudget bounds how often requests are sent to a second target.
//
// All nodes together may repeat a share of the first requests to a service, plus a fixed number, in any window. Each
// node takes its part of the fixed number by the count of nodes and the share of the requests that it has sent itself,
// so the nodes need not agree on anything.
//
// When more repeats are asked for than allowed, they go to few requests rather than to all: a request whose calls fan out
// is served only if all of its calls are, so a repeat for one of them is lost unless the others get theirs. Requests that
// callers sent to the service itself go first, as one repeat may complete them, then calls by the importance of the
// request at the top of their chain. Within these, a hash of that request's id gives it a standing that is the same on all
// nodes, and a cut among the standings leaves in as many requests as can have all the repeats that they need.
package retrybudget

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spec is the bound for all nodes together.
type Spec struct {
	Ratio  float64       // repeats for each first request
	Slack  float64       // repeats beyond that, in one window
	Window time.Duration // over which both are counted
}

// slots is how many parts a window is counted in; the count covers one part more than the window.
const slots = 10

const (
	// ratioUsed is the part of the ratio that is used. The count covers a tenth more than the window, and calls of requests
	// that run again take no leave.
	ratioUsed = 0.8
	// slackUsed is the part of the slack that is used. Nodes that have restarted forget what they took of it.
	slackUsed = 0.6
)

// savings is the time over which repeats that were allowed and not used so far may be used up.
const savings = 2 * time.Second

const (
	// importances have standings of their own; less important requests share the last.
	importances = 3
	// levels of standings are those of callers' requests, then those of calls.
	levels = 2 * importances
	// reserved is the part of the bound that the last level leaves to those before it; others leave less, in proportion.
	reserved = 0.1
	// cutPeriod is how often the cut is computed, from means with this weight for the last period.
	cutPeriod = 200 * time.Millisecond
	cutWeight = 0.3
	// mostRoots bounds the requests that are remembered, for one to two times rootsKept.
	mostRoots = 8192
	rootsKept = time.Second
	// Requests that the cut leaves in and that go without a repeat show that it leaves in too many. It is computed for a part
	// of the repeats that shrinks while more than fewDenied of what they ask for is denied, and grows back.
	fewDenied = 0.05
	shrink    = 0.8
	grow      = 1.05
	leastPart = 0.1
)

// Retry is a repeat that is asked for.
type Retry struct {
	root     uint64
	standing float64 // from 0, the first to get a repeat, to levels
	again    bool
}

// NewRetry returns the repeat of a call. Priority is that of the request at the top of its chain, ID the call's own, and
// again is true if the call has asked before.
func NewRetry(priority int, id string, again bool) Retry {
	root, _, inner := strings.Cut(id, ".")
	h := xxhash.Sum64String(root)
	level := min(priority, importances-1)
	if inner {
		level += importances
	}
	return Retry{root: h, standing: float64(level) + float64(h>>11)/(1<<53), again: again}
}

func (r Retry) level() int { return min(levels-1, int(r.standing)) }

// demand is the requests of one level that ask for repeats.
type demand struct {
	asked          float64 // requests that asked first in the present period
	perSecond      float64 // the same in a second, as a mean over periods
	started, taken float64 // requests that got a first repeat, and repeats in all, as fading counts
}

// perRequest is how many repeats a request takes that gets all that it asks for.
func (d *demand) perRequest() float64 { return max(1, d.taken/max(1, d.started)) }

type count struct {
	first, repeats  [slots + 1]float64
	at              int64 // number of the current part
	demand          [levels]demand
	cut             float64         // standings above it get no repeat
	period          time.Time       // start of the present one
	granted, denied float64         // repeats asked for in the present period by requests that the cut leaves in
	part            float64         // of the repeats, for which the cut is computed
	roots, earlier  map[uint64]bool // requests that have asked, and whether they got a repeat
	rooted          time.Time       // start of roots
}

func newCount(at int64) *count {
	return &count{at: at, cut: levels, part: 1, roots: map[uint64]bool{}}
}

// turn ends a period and computes the cut anew from the repeats allowed in a second.
func (c *count) turn(now time.Time, perSecond float64) {
	elapsed := now.Sub(c.period)
	if elapsed < cutPeriod {
		return
	}
	switch {
	case c.denied > fewDenied*(c.granted+c.denied):
		c.part = max(leastPart, shrink*c.part)
	default:
		c.part = min(1, grow*c.part)
	}
	c.granted, c.denied = 0, 0
	perSecond *= c.part
	kept := math.Pow(1-cutWeight, min(100, float64(elapsed)/float64(cutPeriod)))
	c.cut = 0
	for l := range c.demand {
		d := &c.demand[l]
		d.started, d.taken = kept*d.started, kept*d.taken
		d.perSecond = kept*d.perSecond + (1-kept)*d.asked/elapsed.Seconds()
		d.asked = 0
		need, part := d.perSecond*d.perRequest(), 1.0
		if need > perSecond {
			part = perSecond / need
		}
		perSecond -= part * need
		if c.cut == float64(l) {
			c.cut += part
		}
	}
	c.period = now
}

// asks counts a request that asks for a repeat. It is counted once, however many of its calls ask.
func (c *count) asks(now time.Time, r Retry) {
	if now.Sub(c.rooted) > rootsKept || len(c.roots) >= mostRoots {
		c.earlier, c.roots, c.rooted = c.roots, map[uint64]bool{}, now
	}
	if _, ok := c.roots[r.root]; ok {
		return
	}
	got, ok := c.earlier[r.root]
	c.roots[r.root] = got
	if !ok {
		c.demand[r.level()].asked++
	}
}

// grant counts a repeat that is granted.
func (c *count) grant(r Retry) {
	c.repeats[c.at%(slots+1)]++
	c.granted++
	d := &c.demand[r.level()]
	d.taken++
	if !c.roots[r.root] {
		c.roots[r.root] = true
		d.started++
	}
}

// Budget counts the requests of one node. Its methods may be called concurrently.
type Budget struct {
	spec Spec

	mu       sync.Mutex
	start    time.Time // parts of the window are counted from the first request on
	services map[string]*count
}

// New returns a budget for a node that has sent nothing.
func New(s Spec) *Budget { return &Budget{spec: s, services: map[string]*count{}} }

// RecordRequest counts a first request to a service.
func (a *Budget) RecordRequest(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.count(now, service)
	c.first[c.at%(slots+1)]++
}

// RecordRetry counts a call of a request that runs again, which needs no leave of its own.
func (a *Budget) RecordRetry(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.count(now, service)
	c.repeats[c.at%(slots+1)]++
}

// Take asks for one repeat and counts it if it is granted. Nodes is how many nodes share the bound.
func (a *Budget) Take(now time.Time, service string, nodes int, r Retry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.count(now, service)
	var first, repeats float64
	for i := range c.first {
		first += c.first[i]
		repeats += c.repeats[i]
	}
	bound := ratioUsed*a.spec.Ratio*first + slackUsed*a.spec.Slack/float64(max(1, nodes))
	c.turn(now, max(bound/a.spec.Window.Seconds(), (bound-repeats)/savings.Seconds()))
	if !r.again {
		c.asks(now, r)
	}
	if r.standing > c.cut {
		return false
	}
	if repeats+1 > bound*(1-reserved*float64(r.level())/levels) {
		c.denied++
		return false
	}
	c.grant(r)
	return true
}

func (a *Budget) count(now time.Time, service string) *count {
	if a.start.IsZero() {
		a.start = now
	}
	at := int64(now.Sub(a.start) / (a.spec.Window / slots))
	c := a.services[service]
	if c == nil {
		c = newCount(at)
		a.services[service] = c
	}
	for steps := 0; c.at < at && steps <= slots; steps++ {
		c.at++
		c.first[c.at%(slots+1)], c.repeats[c.at%(slots+1)] = 0, 0
	}
	c.at = at
	return c
}
