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
	own      Self
	seed     uint64
	settings Settings
	shards   [shards]shard
}

type shard struct {
	mu       sync.Mutex
	services map[string]*service
}

var _ mustardmast.Picker = (*Balancer)(nil)

// New returns a Balancer that chooses targets for own. Equal seeds and events give equal choices.
func New(own Self, seed uint64, s Settings) *Balancer {
	s.SubsetSize = min(max(s.SubsetSize, 1), 64)
	b := &Balancer{own: own, seed: seed, settings: s}
	for i := range b.shards {
		b.shards[i].services = map[string]*service{}
	}
	return b
}

// Pick chooses among candidates, passing over those in tried, and counts the call as in flight there. The candidates
// must not be changed afterwards: the same slice again is taken for the same list.
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
		sh.makeRoom(max(b.settings.MaxServices/shards, 1))
		v = newService(c.Service(), now, h^b.seed, &b.settings)
		sh.services[v.name] = v
	}
	t := now.Sub(v.epoch)
	v.used = t
	v.adopt(t, b.own, &b.settings, candidates)
	m := v.pick(t, b.own, &b.settings, c, tried)
	if m == nil {
		return mustardmast.Member{}, false
	}
	if len(tried) == 0 {
		v.hedges.earn(&b.settings)
	}
	m.sent(t, c.Long())
	return candidates[m.index], true
}

// Done ends a send that Pick counted. Results for services or members that were forgotten meanwhile are ignored.
func (b *Balancer) Done(now time.Time, r mustardmast.Result) {
	_, sh := b.shard(r.Service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if v, ok := sh.services[r.Service]; ok {
		v.done(now.Sub(v.epoch), &b.settings, &r)
	}
}

// HedgeAfter returns how long to wait for a first answer before a second send. It is false for calls that must not or
// need not run twice, and when the service's budget for second sends is used up. True reserves one second send; a
// result with HedgeUnused gives the reservation back. A reservation that is never given back counts as used.
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
	return v.hedges.reserve(&b.settings)
}

// Ejected returns how many members of a service's subset the last Pick passed over.
func (b *Balancer) Ejected(service string) int {
	_, sh := b.shard(service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	if v, ok := sh.services[service]; ok {
		for _, m := range v.members {
			if m.out {
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

// makeRoom forgets the service that was idle for longest.
func (sh *shard) makeRoom(most int) {
	if len(sh.services) < most {
		return
	}
	var oldest *service
	for _, v := range sh.services {
		if oldest == nil || v.epoch.Add(v.used).Before(oldest.epoch.Add(oldest.used)) {
			oldest = v
		}
	}
	delete(sh.services, oldest.name)
}
