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
	maxSeeds    = 8
	seedsEvery  = 5 * time.Minute
	aloneFor    = 3 * time.Second
	staleSeeds  = 4 // fewer live addresses than this make the object stale, if more members exist
	seedTimeout = 10 * time.Second
)

// seedsObject is the platform's object seeds/<failure-domain>.
type seedsObject struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

// readSeeds looks up first peers in the platform while this node knows nobody, and later refreshes the object if this
// node is the one that does so for its failure domain.
func (c *Control) readSeeds() {
	wait := aloneFor
	for c.sleep(wait) {
		members := c.members.InDomain(c.s.Self.FailureDomain)
		switch {
		case c.members.Len() == 1:
			c.refresh(members, true)
			wait = min(2*wait, lastBackoff)
		case slices.Contains(dissemination.ChooseWatchers(members, 1), c.s.Self.ID):
			c.refresh(members, false)
			wait = seedsEvery
		default:
			wait = seedsEvery
		}
	}
}

// refresh reads the object, takes its addresses as seeds if this node is alone, and writes it if it is stale.
func (c *Control) refresh(members []mustardmast.Member, alone bool) {
	ctx, cancel := context.WithTimeout(c.ctx, seedTimeout)
	defer cancel()
	name := "seeds/" + c.s.Self.FailureDomain
	c.meter.platformCalls.Add(1)
	o, err := c.s.Platform.Get(ctx, name)
	if err != nil && fault.KindOf(err) != fault.NotFound {
		return
	}
	var so seedsObject
	if err == nil && o.Version != 0 && json.Unmarshal(o.Value, &so) != nil {
		c.s.Log.Write(eventlog.SeedsUnreadable, zap.String("object", name))
	}
	if alone && len(so.Addresses) > 0 && !slices.Equal(so.Addresses, []netip.AddrPort{c.s.Self.Address}) {
		c.members.SetSeeds(append(slices.Clone(c.s.Seeds), so.Addresses[:min(len(so.Addresses), maxSeeds)]...))
	}
	next, stale := c.nextSeeds(so.Addresses, members)
	if !stale {
		return
	}
	value, err := json.Marshal(seedsObject{Addresses: next})
	if err != nil {
		return
	}
	c.meter.platformCalls.Add(1)
	// A conflict or an unknown outcome is settled by the next refresh.
	if _, err = c.s.Platform.Put(ctx, mustardmast.Object{Name: name, Version: o.Version, Value: value}); err != nil {
		c.s.Log.Write(eventlog.SeedsNotWritten, zap.Error(err))
	}
}

// nextSeeds returns the addresses to write, and whether the present ones are stale. A node that is alone adds itself
// to those of others: it cannot tell whether they are gone.
func (c *Control) nextSeeds(present []netip.AddrPort, members []mustardmast.Member) ([]netip.AddrPort, bool) {
	live := map[netip.AddrPort]bool{}
	for _, m := range members {
		live[m.Address] = true
	}
	good := 0
	for _, a := range present {
		if live[a] {
			good++
		}
	}
	if good >= min(staleSeeds, len(members)) {
		return nil, false
	}
	var next []netip.AddrPort
	for _, id := range dissemination.ChooseWatchers(members, maxSeeds) {
		if m, ok := c.members.Find(id); ok {
			next = append(next, m.Address)
		}
	}
	if len(members) == 1 {
		for _, a := range present {
			if len(next) < maxSeeds && !slices.Contains(next, a) {
				next = append(next, a)
			}
		}
	}
	return next, true
}

// wantedServices are those of which this node needs the members first.
func (c *Control) wantedServices() []string {
	if c.s.WantedServices == nil {
		return nil
	}
	return c.s.WantedServices()
}
