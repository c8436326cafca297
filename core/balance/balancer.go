package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
	"mustardmast/core/call"
)

const shards = 16

// Balancer implements mustardmast.Picker. It is safe for concurrent use.
type Balancer struct {
	self     Self
	seed     uint64
	settings Settings
	shards   [shards]shard
}

type shard struct {
	mu       sync.Mutex
	services map[string]*service
}

var _ mustardmast.Picker = (*Balancer)(nil)

// New returns a Balancer that chooses members on behalf of self. Equal seeds and events give equal choices.
func New(self Self, seed uint64, s Settings) *Balancer {
	s.SubsetSize = min(max(s.SubsetSize, 1), 64)
	b := &Balancer{self: self, seed: seed, settings: s}
	for i := range b.shards {
		b.shards[i].services = map[string]*service{}
	}
	return b
}

// Pick chooses among candidates, skipping those in tried, and counts the call as in flight at the chosen member. The
// caller must not modify candidates afterwards: a slice with the same address and length is taken to be unchanged. Pick
// returns false if no member of the subset is left to try.
func (b *Balancer) Pick(
	now time.Time, c call.Call, candidates []mustardmast.Member, tried []mustardmast.NodeID,
) (mustardmast.Member, bool) {
	if len(candidates) == 0 {
		return mustardmast.Member{}, false
	}
	h, sh := b.shard(c.Service())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	v, ok := sh.services[c.Service()]
	if !ok {
		sh.evictIdlest(max(b.settings.MaxServices/shards, 1))
		v = newService(c.Service(), now, h^b.seed, &b.settings)
		sh.services[v.name] = v
	}
	t := now.Sub(v.epoch)
	v.lastUsed = t
	v.setCandidates(t, b.self, &b.settings, candidates)
	m := v.pick(t, b.self, &b.settings, c, tried)
	if m == nil {
		return mustardmast.Member{}, false
	}
	if len(tried) == 0 {
		v.hedgeBudget.deposit(&b.settings)
	}
	m.recordSent(t, c.Long())
	return candidates[m.candidate], true
}

// Done records the result of a send that Pick counted. Results for services or members whose state has been evicted are
// ignored.
func (b *Balancer) Done(now time.Time, r mustardmast.Result) {
	_, sh := b.shard(r.Service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if v, ok := sh.services[r.Service]; ok {
		v.done(now.Sub(v.epoch), &b.settings, &r)
	}
}

// HedgeAfter returns how long to wait for the first answer before a hedged send. It returns false for calls that must
// not run twice, for long calls, and when the service's hedge budget is exhausted. True reserves one hedged send; a
// result with HedgeUnused releases the reservation. A reservation that is not released counts as used.
func (b *Balancer) HedgeAfter(_ time.Time, c call.Call) (time.Duration, bool) {
	if !c.Idempotent() || c.Long() {
		return 0, false
	}
	_, sh := b.shard(c.Service())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	v, ok := sh.services[c.Service()]
	if !ok {
		return 0, false
	}
	return v.hedgeBudget.reserve(&b.settings)
}

// Ejected returns how many members of a service's subset were ejected at the last Pick.
func (b *Balancer) Ejected(service string) int {
	_, sh := b.shard(service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	if v, ok := sh.services[service]; ok {
		for _, m := range v.members {
			if m.ejected {
				n++
			}
		}
	}
	return n
}

func (b *Balancer) shard(service string) (uint64, *shard) {
	h := xxhash.Sum64String(service)
	return h, &b.shards[h%shards]
}

// evictIdlest removes the state of the service that has been idle for longest, if there are maxServices of them.
func (sh *shard) evictIdlest(maxServices int) {
	if len(sh.services) < maxServices {
		return
	}
	var oldest *service
	for _, v := range sh.services {
		if oldest == nil || v.epoch.Add(v.lastUsed).Before(oldest.epoch.Add(oldest.lastUsed)) {
			oldest = v
		}
	}
	delete(sh.services, oldest.name)
}
