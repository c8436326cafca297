package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/dissemination"
	"mustardmast/core/fault"
	"mustardmast/io/eventlog"
)

const (
	maxSeeds      = 8
	seedsInterval = 5 * time.Minute
	minSeedsWait  = 3 * time.Second
	minLiveSeeds  = 4 // the object is stale with fewer live addresses, unless fewer members exist
	seedTimeout   = 10 * time.Second
)

// seedsObject is the value of the platform object seeds/<failure-domain>.
type seedsObject struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

// maintainSeeds looks up peers in the seeds object while this node knows no other member. After that it refreshes the
// object periodically if this node is the one elected to do so in its failure domain.
func (c *Control) maintainSeeds() {
	wait := minSeedsWait
	for c.sleep(wait) {
		members := c.members.InDomain(c.s.Self.FailureDomain)
		switch {
		case c.members.Len() == 1:
			c.refreshSeeds(members, true)
			wait = min(2*wait, maxBackoff)
		case slices.Contains(dissemination.ChooseWatchers(members, 1), c.s.Self.ID):
			c.refreshSeeds(members, false)
			wait = seedsInterval
		default:
			wait = seedsInterval
		}
	}
}

// refreshSeeds reads the seeds object, adopts its addresses as seeds if this node is alone, and writes the object if it
// is stale.
func (c *Control) refreshSeeds(members []mustardmast.Member, alone bool) {
	ctx, cancel := context.WithTimeout(c.ctx, seedTimeout)
	defer cancel()
	name := "seeds/" + c.s.Self.FailureDomain
	c.meter.platformCalls.Add(1)
	o, err := c.s.Platform.Get(ctx, name)
	if err != nil && fault.KindOf(err) != fault.NotFound {
		return
	}
	var object seedsObject
	if err == nil && o.Version != 0 && json.Unmarshal(o.Value, &object) != nil {
		c.s.Log.Write(eventlog.SeedsUnreadable, zap.String("object", name))
	}
	if alone && len(object.Addresses) > 0 && !slices.Equal(object.Addresses, []netip.AddrPort{c.s.Self.Address}) {
		c.members.SetSeeds(append(slices.Clone(c.s.Seeds), object.Addresses[:min(len(object.Addresses), maxSeeds)]...))
	}
	addresses, stale := c.nextSeeds(object.Addresses, members)
	if !stale {
		return
	}
	value, err := json.Marshal(seedsObject{Addresses: addresses})
	if err != nil {
		return
	}
	c.meter.platformCalls.Add(1)
	// The next refresh handles a conflict or an unknown outcome.
	if _, err = c.s.Platform.Put(ctx, mustardmast.Object{Name: name, Version: o.Version, Value: value}); err != nil {
		c.s.Log.Write(eventlog.SeedsNotWritten, zap.Error(err))
	}
}

// nextSeeds returns the addresses to write and whether the current ones are stale. A node that is alone keeps the
// current addresses beside its own, because it cannot tell whether those nodes are gone.
func (c *Control) nextSeeds(current []netip.AddrPort, members []mustardmast.Member) ([]netip.AddrPort, bool) {
	live := map[netip.AddrPort]bool{}
	for _, m := range members {
		live[m.Address] = true
	}
	liveCount := 0
	for _, a := range current {
		if live[a] {
			liveCount++
		}
	}
	if liveCount >= min(minLiveSeeds, len(members)) {
		return nil, false
	}
	var next []netip.AddrPort
	for _, id := range dissemination.ChooseWatchers(members, maxSeeds) {
		if m, ok := c.members.Find(id); ok {
			next = append(next, m.Address)
		}
	}
	if len(members) == 1 {
		for _, a := range current {
			if len(next) < maxSeeds && !slices.Contains(next, a) {
				next = append(next, a)
			}
		}
	}
	return next, true
}

// wantedServices returns the services whose members this node needs first.
func (c *Control) wantedServices() []string {
	if c.s.WantedServices == nil {
		return nil
	}
	return c.s.WantedServices()
}
