// Package allowance bounds how often requests are sent to a second target.
//
// All nodes together may repeat a share of the first requests to a service, plus a fixed number, in any window. Each
// node takes its part of the fixed number by the count of nodes and the share of the requests that it has sent itself,
// so the nodes need not agree on anything.
//
// When more repeats are asked for than allowed, they go to few requests rather than to all: a request whose calls fan out
// is served only if all of its calls are, so a repeat for one of them is lost unless the others get theirs. Each request
// has a standing by its importance and a hash of its id, the same on all nodes, and a cut among the standings leaves as
// many requests above it as can have all the repeats that they need.
package allowance

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

// safety is the part of the bound that is used. The rest covers nodes that have restarted and forgotten what they sent.
const safety = 0.6

// savings is the time over which repeats that were allowed and not used so far may be used up.
const savings = 2 * time.Second

const (
	// levels is how many importances have standings of their own; less important ones share the last.
	levels = 3
	// cutPeriod is how often the cut is computed, from means with this weight for the last period.
	cutPeriod = 200 * time.Millisecond
	cutWeight = 0.3
)

// Standing returns the standing of a request from the priority of the request at the top of its chain and that request's
// id: from 0, the first to get a repeat, to levels.
func Standing(priority int, id string) float64 {
	root, _, _ := strings.Cut(id, ".")
	part := float64(xxhash.Sum64String(root)>>11) / (1 << 53)
	return float64(min(priority, levels-1)) + part
}

// Repeat is a repeat that is asked for.
type Repeat struct {
	Standing float64 // see Standing
	Again    bool    // the request has been repeated before
}

type count struct {
	first, repeats [slots + 1]float64
	at             int64           // number of the current part
	asked          [levels]float64 // requests of the present period that asked for the first time
	demand         [levels]float64 // the same in a second, as a mean over periods
	started, taken float64         // requests that got a first repeat, and repeats in all, as fading counts
	cut            float64         // standings above it get no repeat
	period         time.Time       // start of the present one
}

// turn ends a period and computes the cut anew from the repeats allowed in a second.
func (c *count) turn(now time.Time, perSecond float64) {
	elapsed := now.Sub(c.period)
	if elapsed < cutPeriod {
		return
	}
	kept := math.Pow(1-cutWeight, min(100, float64(elapsed)/float64(cutPeriod)))
	perRequest := max(1, c.taken/max(1, c.started))
	c.started, c.taken = kept*c.started, kept*c.taken
	c.cut = 0
	for l := range c.demand {
		c.demand[l] = kept*c.demand[l] + (1-kept)*c.asked[l]/elapsed.Seconds()
		c.asked[l] = 0
		part := 1.0
		if need := c.demand[l] * perRequest; need > perSecond {
			part = perSecond / need
		}
		perSecond -= part * c.demand[l] * perRequest
		if c.cut == float64(l) {
			c.cut += part
		}
	}
	c.period = now
}

// Allowance counts the requests of one node. Its methods may be called concurrently.
type Allowance struct {
	spec Spec

	mu       sync.Mutex
	start    time.Time // parts of the window are counted from the first request on
	services map[string]*count
}

// New returns an allowance for a node that has sent nothing.
func New(s Spec) *Allowance { return &Allowance{spec: s, services: map[string]*count{}} }

// First counts a first request to a service.
func (a *Allowance) First(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.count(now, service)
	c.first[c.at%(slots+1)]++
}

// Repeated counts a call of a request that runs again, which needs no leave of its own.
func (a *Allowance) Repeated(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.count(now, service)
	c.repeats[c.at%(slots+1)]++
}

// Take asks for one repeat and counts it if it is granted. Nodes is how many nodes share the bound.
func (a *Allowance) Take(now time.Time, service string, nodes int, r Repeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.count(now, service)
	var first, repeats float64
	for i := range c.first {
		first += c.first[i]
		repeats += c.repeats[i]
	}
	bound := safety * (a.spec.Ratio*first + a.spec.Slack/float64(max(1, nodes)))
	c.turn(now, max(bound/a.spec.Window.Seconds(), (bound-repeats)/savings.Seconds()))
	if !r.Again {
		c.asked[min(levels-1, int(r.Standing))]++
	}
	if repeats+1 > bound || r.Standing > c.cut {
		return false
	}
	c.repeats[c.at%(slots+1)]++
	c.taken++
	if !r.Again {
		c.started++
	}
	return true
}

func (a *Allowance) count(now time.Time, service string) *count {
	if a.start.IsZero() {
		a.start = now
	}
	at := int64(now.Sub(a.start) / (a.spec.Window / slots))
	c := a.services[service]
	if c == nil {
		c = &count{at: at, cut: levels}
		a.services[service] = c
	}
	for steps := 0; c.at < at && steps <= slots; steps++ {
		c.at++
		c.first[c.at%(slots+1)], c.repeats[c.at%(slots+1)] = 0, 0
	}
	c.at = at
	return c
}
