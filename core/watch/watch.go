// Package watch decides how long the nodes of a fleet wait in a watch on the platform's store.
//
// A watch can miss a change without an error: its connection has gone silent, or the store has dropped the change from
// its history. Only the end of a wait shows that. Of the whole fleet some watch should therefore end every few hundred
// milliseconds, and the node that learns of a change passes it on. A change answers all watches at once, so that they
// start again at the same moment; waits of similar length would then all end at about the same time, many seconds later.
// The waits are therefore exponentially distributed: the rate at which they end is constant, whenever they have started.
package watch

import (
	"math/rand/v2"
	"time"
)

const (
	// waitPerHost times the number of hosts is the mean wait, so the rate at which watches end does not depend on the size
	// of the fleet.
	waitPerHost = 250 * time.Millisecond
	// minMeanWait bounds the number of calls in small fleets.
	minMeanWait = 2 * time.Second
	minWait     = 100 * time.Millisecond
	maxWait     = 30 * time.Second // the maximum that the store allows
)

// Waits draws the waits of one node. It is not safe for concurrent use.
type Waits struct {
	random *rand.Rand
}

// New returns the waits of a node.
func New(r *rand.Rand) *Waits { return &Waits{random: r} }

// Next returns the wait of the next watch in a fleet with a number of hosts.
func (w *Waits) Next(hosts int) time.Duration {
	mean := max(minMeanWait, time.Duration(hosts)*waitPerHost)
	return min(maxWait, max(minWait, time.Duration(w.random.ExpFloat64()*float64(mean))))
}
