// Package allowance bounds how often requests are sent to a second target.
//
// All nodes together may repeat a share of the first requests to a service, plus a fixed number, in any window. Each
// node takes its part of the fixed number by the count of nodes and the share of the requests that it has sent itself,
// so the nodes need not agree on anything.
package allowance

import (
	"sync"
	"time"
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

type count struct {
	first, repeats [slots + 1]float64
	at             int64 // number of the current part
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
func (a *Allowance) Take(now time.Time, service string, nodes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.count(now, service)
	var first, repeats float64
	for i := range c.first {
		first += c.first[i]
		repeats += c.repeats[i]
	}
	if repeats+1 > safety*(a.spec.Ratio*first+a.spec.Slack/float64(max(1, nodes))) {
		return false
	}
	c.repeats[c.at%(slots+1)]++
	return true
}

func (a *Allowance) count(now time.Time, service string) *count {
	if a.start.IsZero() {
		a.start = now
	}
	at := int64(now.Sub(a.start) / (a.spec.Window / slots))
	c := a.services[service]
	if c == nil {
		c = &count{at: at}
		a.services[service] = c
	}
	for steps := 0; c.at < at && steps <= slots; steps++ {
		c.at++
		c.first[c.at%(slots+1)], c.repeats[c.at%(slots+1)] = 0, 0
	}
	c.at = at
	return c
}
