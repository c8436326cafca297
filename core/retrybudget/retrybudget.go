// Package retrybudget limits how often requests are retried on another target.
//
// In any window, all nodes together may send a fraction of the number of first attempts to a service as retries, plus a
// fixed number (the slack). Each node uses the fraction of the first attempts that it has sent itself, and an equal
// share of the slack, so the nodes need no coordination.
//
// When more retries are requested than the budget allows, they are granted to few requests instead of being spread over
// all: a request that fans out succeeds only if all of its sub-calls do, so a retry of one sub-call is wasted unless
// the others get theirs. Requests that callers sent directly to the service go first, because a single retry may
// complete them. Sub-calls follow, by the priority of the request at the root of their chain. Within a level, the hash
// of the root request's id defines a position that is the same on all nodes, and a cutoff position admits as many
// requests as can get all the retries that they need.
package retrybudget

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spec is the limit for all nodes together.
type Spec struct {
	Ratio  float64       // retries per first attempt
	Slack  float64       // additional retries per window
	Window time.Duration // period over which first attempts and retries are counted
}

// numBuckets is the number of buckets of a window. Counts cover one bucket more than the window.
const numBuckets = 10

const (
	// usedRatioFraction is the fraction of Spec.Ratio that is used. The rest is a margin: the counts cover a tenth more
	// than the window, and sub-calls of retried requests are sent without a grant.
	usedRatioFraction = 0.8
	// usedSlackFraction is the fraction of Spec.Slack that is used. The rest is a margin for nodes that restart and
	// lose count of what they used.
	usedSlackFraction = 0.6
)

// spendTime is the time over which the cutoff spreads the retries that the window still allows.
const spendTime = 2 * time.Second

const (
	// numPriorities is the number of priorities with a level of their own; lower priorities share the last level.
	numPriorities = 3
	// numLevels is the number of levels: one per priority for callers' requests, then one per priority for sub-calls.
	numLevels = 2 * numPriorities
	// Level l must leave the fraction reservedFraction*l/numLevels of the budget to the levels before it.
	reservedFraction = 0.1
	// cutoffPeriod is the time between two updates of the cutoff. demandWeight is the weight of one period in the
	// moving averages from which the cutoff is computed.
	cutoffPeriod = 200 * time.Millisecond
	demandWeight = 0.3
	// maxRequests bounds the requests of one generation that are remembered. A request is remembered for one to two
	// times requestRetention.
	maxRequests      = 8192
	requestRetention = time.Second
	// If requests at positions up to the cutoff are denied retries, the cutoff admits too many. It is computed for a
	// fraction of the allowed retries, which shrinks while more than maxDeniedFraction of the retries that such
	// requests ask for are denied, and otherwise grows back to 1.
	maxDeniedFraction = 0.05
	shrinkFactor      = 0.8
	growthFactor      = 1.05
	minCutoffFraction = 0.1
)

// Retry describes a retry for which a grant is requested.
type Retry struct {
	root        uint64  // hash of the root request's id
	position    float64 // in [0, numLevels); lower positions are granted first
	askedBefore bool
}

// NewRetry describes a retry of the call with this id. The priority is that of the request at the root of its chain;
// askedBefore is true if a retry of this call has been requested before.
func NewRetry(priority int, id string, askedBefore bool) Retry {
	root, _, subCall := strings.Cut(id, ".")
	h := xxhash.Sum64String(root)
	level := min(priority, numPriorities-1)
	if subCall {
		level += numPriorities
	}
	return Retry{root: h, position: float64(level) + float64(h>>11)/(1<<53), askedBefore: askedBefore}
}

func (r Retry) level() int { return min(numLevels-1, int(r.position)) }

// demand holds the statistics of the requests of one level that ask for retries.
type demand struct {
	newRequests                     float64 // requests that asked for the first time in the current period
	perSecond                       float64 // such requests per second, moving average over periods
	requestsGranted, retriesGranted float64 // requests with at least one grant, and all grants; decaying counts
}

// retriesPerRequest returns the mean number of retries that a request uses if it gets all that it asks for.
func (d *demand) retriesPerRequest() float64 {
	return max(1, d.retriesGranted/max(1, d.requestsGranted))
}

// state is the state of the budget for one service.
type state struct {
	requests, retries             [numBuckets + 1]float64 // first attempts and retries per bucket, as a ring
	bucket                        int64                   // number of the current bucket, from the start
	demand                        [numLevels]demand
	cutoff                        float64         // no retries are granted at higher positions
	periodStart                   time.Time       // start of the current cutoff period
	granted, denied               float64         // in the current period, retries requested up to the cutoff
	fraction                      float64         // fraction of the allowed retries for which the cutoff is computed
	recentRequests, olderRequests map[uint64]bool // by hash, requests that asked; true if a retry was granted
	recentSince                   time.Time       // when recentRequests was started
}

func newState(bucket int64) *state {
	return &state{bucket: bucket, cutoff: numLevels, fraction: 1, recentRequests: map[uint64]bool{}}
}

// updateCutoff ends the current period, if it is over, and recomputes the cutoff from the number of retries allowed per
// second.
func (s *state) updateCutoff(now time.Time, perSecond float64) {
	elapsed := now.Sub(s.periodStart)
	if elapsed < cutoffPeriod {
		return
	}
	switch {
	case s.denied > maxDeniedFraction*(s.granted+s.denied):
		s.fraction = max(minCutoffFraction, shrinkFactor*s.fraction)
	default:
		s.fraction = min(1, growthFactor*s.fraction)
	}
	s.granted, s.denied = 0, 0
	perSecond *= s.fraction
	oldWeight := math.Pow(1-demandWeight, min(100, float64(elapsed)/float64(cutoffPeriod)))
	s.cutoff = 0
	for l := range s.demand {
		d := &s.demand[l]
		d.requestsGranted, d.retriesGranted = oldWeight*d.requestsGranted, oldWeight*d.retriesGranted
		d.perSecond = oldWeight*d.perSecond + (1-oldWeight)*d.newRequests/elapsed.Seconds()
		d.newRequests = 0
		need, fraction := d.perSecond*d.retriesPerRequest(), 1.0
		if need > perSecond {
			fraction = perSecond / need
		}
		perSecond -= fraction * need
		if s.cutoff == float64(l) {
			s.cutoff += fraction
		}
	}
	s.periodStart = now
}

// recordAsk counts a request that asks for a retry. A request counts once, however many of its calls ask.
func (s *state) recordAsk(now time.Time, r Retry) {
	if now.Sub(s.recentSince) > requestRetention || len(s.recentRequests) >= maxRequests {
		s.olderRequests, s.recentRequests, s.recentSince = s.recentRequests, map[uint64]bool{}, now
	}
	if _, ok := s.recentRequests[r.root]; ok {
		return
	}
	granted, ok := s.olderRequests[r.root]
	s.recentRequests[r.root] = granted
	if !ok {
		s.demand[r.level()].newRequests++
	}
}

// recordGrant counts a granted retry.
func (s *state) recordGrant(r Retry) {
	s.retries[s.bucket%(numBuckets+1)]++
	s.granted++
	d := &s.demand[r.level()]
	d.retriesGranted++
	if !s.recentRequests[r.root] {
		s.recentRequests[r.root] = true
		d.requestsGranted++
	}
}

// Budget is the retry budget of one node. Its methods are safe for concurrent use.
type Budget struct {
	spec Spec

	mu       sync.Mutex
	start    time.Time // time of the first request, from which buckets are numbered
	services map[string]*state
}

// New returns the budget of a node that has sent no requests yet.
func New(s Spec) *Budget { return &Budget{spec: s, services: map[string]*state{}} }

// RecordRequest counts a first attempt of a request to a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, service)
	s.requests[s.bucket%(numBuckets+1)]++
}

// RecordRetry counts a call that a retried request makes. Such a call counts as a retry but needs no grant.
func (b *Budget) RecordRetry(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, service)
	s.retries[s.bucket%(numBuckets+1)]++
}

// Take reports whether a retry is granted, and counts it if so. The slack is shared by the given number of nodes.
func (b *Budget) Take(now time.Time, service string, nodes int, r Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, service)
	var requests, retries float64
	for i := range s.requests {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	limit := usedRatioFraction*b.spec.Ratio*requests + usedSlackFraction*b.spec.Slack/float64(max(1, nodes))
	s.updateCutoff(now, max(limit/b.spec.Window.Seconds(), (limit-retries)/spendTime.Seconds()))
	if !r.askedBefore {
		s.recordAsk(now, r)
	}
	if r.position > s.cutoff {
		return false
	}
	if retries+1 > limit*(1-reservedFraction*float64(r.level())/numLevels) {
		s.denied++
		return false
	}
	s.recordGrant(r)
	return true
}

// state returns the state of a service with its buckets advanced to now.
func (b *Budget) state(now time.Time, service string) *state {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start) / (b.spec.Window / numBuckets))
	s := b.services[service]
	if s == nil {
		s = newState(bucket)
		b.services[service] = s
	}
	for steps := 0; s.bucket < bucket && steps <= numBuckets; steps++ {
		s.bucket++
		s.requests[s.bucket%(numBuckets+1)], s.retries[s.bucket%(numBuckets+1)] = 0, 0
	}
	s.bucket = bucket
	return s
}
