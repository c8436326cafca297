package control

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/dissemination"
	"mustardmast/core/fault"
	"mustardmast/core/member"
	"mustardmast/core/rollout"
	"mustardmast/io/control/controlv1"
	"mustardmast/io/eventlog"
)

const (
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// maxWatchBackoff limits the time between watches while the platform is unavailable. A change that is accepted right
	// after an outage must be in force everywhere within 8 s, and only the watchers can detect it: a backoff of 30 s
	// takes up to 45 s with jitter. There are two watchers per failure domain, so the call rate stays low.
	maxWatchBackoff       = 2 * time.Second
	conflictCheckInterval = time.Minute
)

// handleGeneration processes the configuration generation of a datagram: it pulls a newer one, and detects another
// change under the same generation.
func (c *Control) handleGeneration(now time.Time, p member.Packet) {
	current := c.rollout.Current()
	if p.Generation > current.Generation {
		c.applyDissemination(now, c.disseminator.Learned(now, p.Generation, p.From))
		return
	}
	if p.Generation == 0 || p.Generation < current.Generation || p.ChangeHash == changeHash(current.ChangeID) {
		return
	}
	// The same generation with another change: pull it, so that the alarm can name its change id.
	c.mu.Lock()
	due := now.Sub(c.lastConflictCheck) >= conflictCheckInterval
	if due {
		c.lastConflictCheck = now
	}
	c.mu.Unlock()
	if due {
		c.goRun(func() { c.pullFrom(p.From) })
	}
}

// applyDissemination announces and pulls configurations as the disseminator requested.
func (c *Control) applyDissemination(now time.Time, out dissemination.Output) {
	if out.Notify > 0 {
		c.applyMembership(c.members.AnnounceConfig(now, out.Notify))
	}
	if out.Pull != 0 && c.ctx.Err() == nil {
		c.goRun(func() {
			c.pullFrom(out.Pull)
			now := c.s.Timers.Now()
			c.applyDissemination(now, c.disseminator.Pulled(now, out.Pull))
		})
	}
}

func (c *Control) pullFrom(id mustardmast.NodeID) {
	if m, ok := c.members.Find(id); ok {
		if _, err := c.pull(m.Address); err != nil && c.ctx.Err() == nil {
			c.s.Log.Write(eventlog.ConfigNotPulled, zap.Stringer("from", m.Address), zap.Error(err))
		}
	}
}

// pull requests the edits or the text that this node lacks from a peer and offers the result to the rollout. It returns
// the peer's generation.
func (c *Control) pull(from netip.AddrPort) (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	generation, changeID, text := c.history.Text()
	resp, err := c.client.to(from).Config(ctx, &controlv1.ConfigRequest{
		From: uint64(c.s.Self.ID), HaveGeneration: generation, HaveChangeId: changeID,
	})
	if err != nil {
		return 0, errors.Wrap(err, "request configuration from peer")
	}
	start := time.Now()
	defer func() { c.meter.recordBusy(start) }()
	edits := decodeEdits(resp.Edits)
	if len(edits) > 0 {
		if text, err = applyEdits(text, edits); err != nil {
			return resp.Generation, err
		}
	} else {
		text = resp.Text
	}
	v := rollout.Version{Generation: resp.Generation, ChangeID: resp.ChangeId}
	if c.rollout.ShouldInstall(v) && xxhash.Sum64(text) != resp.TextHash {
		return resp.Generation, errors.Errorf("text of generation %d does not match the hash sent by the peer", v.Generation)
	}
	c.offer(rollout.Peer, v, text, generation, edits)
	return resp.Generation, nil
}

func applyEdits(text []byte, edits []dissemination.Edit) ([]byte, error) {
	var err error
	for _, e := range edits {
		if text, err = e.Apply(text); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// offer installs a newer configuration and announces it to the other nodes, or raises an alarm. The edits lead from
// generation base to v and are kept in the history for other nodes; without edits, the text alone is recorded.
func (c *Control) offer(s rollout.Source, v rollout.Version, text []byte, base uint64, edits []dissemination.Edit) {
	installed, alarm := c.rollout.Offer(s, v, func() error {
		if err := c.s.Install(v.Generation, v.ChangeID, text); err != nil {
			c.s.Log.Write(eventlog.ConfigRejected, zap.Uint64("generation", v.Generation), zap.Error(err))
			return err
		}
		// The rollout serializes offers, so the history does not change between the check and the update.
		if have, _, _ := c.history.Text(); len(edits) > 0 && have == base {
			c.history.Append(edits, text)
		} else {
			c.history.Put(v.Generation, v.ChangeID, text)
		}
		return nil
	})
	if alarm.Kind != 0 && c.s.OnAlarm != nil {
		c.s.OnAlarm(alarm)
	}
	if alarm.Kind != 0 {
		c.s.Log.Write(alarmEvent(alarm.Kind), zap.Stringer("source", s), zap.Uint64("seen-generation", alarm.Seen.Generation), zap.String("seen-change", alarm.Seen.ChangeID),
			zap.Uint64("kept-generation", alarm.Kept.Generation), zap.String("kept-change", alarm.Kept.ChangeID))
	}
	if installed {
		now := c.s.Timers.Now()
		c.members.SetConfig(v.Generation, changeHash(v.ChangeID))
		c.applyDissemination(now, c.disseminator.Installed(now, v.Generation))
	}
}

// configSince returns the edits since a version, or the full text if the history does not contain that version.
func (c *Control) configSince(generation uint64, changeID string) *controlv1.ConfigResponse {
	current, id, text := c.history.Text()
	resp := &controlv1.ConfigResponse{Generation: current, ChangeId: id}
	if current <= generation {
		return resp
	}
	resp.TextHash = xxhash.Sum64(text)
	edits, ok := c.history.Since(generation, changeID)
	if !ok || len(edits) == 0 || edits[len(edits)-1].Generation != current {
		resp.Text = text
		return resp
	}
	for _, e := range edits {
		resp.Edits = append(resp.Edits, &controlv1.Edit{
			Generation: e.Generation, ChangeId: e.ChangeID,
			Offset: uint32(e.Offset), Removed: uint32(e.Removed), Inserted: e.Inserted,
		})
	}
	return resp
}

func decodeEdits(es []*controlv1.Edit) []dissemination.Edit {
	var out []dissemination.Edit
	for _, e := range es {
		out = append(out, dissemination.Edit{
			Generation: e.Generation, ChangeID: e.ChangeId,
			Offset: int(e.Offset), Removed: int(e.Removed), Inserted: e.Inserted,
		})
	}
	return out
}

func alarmEvent(k rollout.AlarmKind) eventlog.Event {
	switch k {
	case rollout.Conflict:
		return eventlog.ConfigDiffers
	case rollout.Unreadable:
		return eventlog.ConfigRejected
	default:
		return eventlog.ConfigOlder
	}
}

// pullFromSeed pulls the configuration from a seed once, at the start. Later changes are announced by gossip.
func (c *Control) pullFromSeed(seed netip.AddrPort) {
	generation, err := c.pull(seed)
	if err != nil {
		c.s.Log.Write(eventlog.SeedSilent, zap.Stringer("seed", seed), zap.Error(err))
	}
	c.rollout.SourceResponded(c.s.Timers.Now(), generation)
}

// readInitialConfig reads the configuration from the platform at the start, with retries until one is in force from any
// source.
func (c *Control) readInitialConfig() {
	responded := false
	for backoff := minBackoff; c.ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		c.meter.platformCalls.Add(1)
		o, err := c.s.Platform.Get(c.ctx, configObject)
		generation := c.offerObject(o, err)
		if !responded {
			c.rollout.SourceResponded(c.s.Timers.Now(), generation)
			responded = true
		}
		if c.rollout.Current().Generation > 0 || !c.sleep(backoff) {
			return
		}
	}
}

// offerObject offers the configuration object of the platform and logs changes of the platform's availability. It
// returns the object's generation, or 0 if there is none.
func (c *Control) offerObject(o mustardmast.Object, err error) uint64 {
	if err != nil || o.Version == 0 {
		if err != nil && c.ctx.Err() == nil && fault.KindOf(err) != fault.NotFound && !c.platformDown.Swap(true) {
			c.s.Log.Write(eventlog.PlatformDown, zap.Error(err))
		}
		return 0
	}
	if c.platformDown.Swap(false) {
		c.s.Log.Write(eventlog.PlatformUp)
	}
	generation, changeID, text, err := c.s.Decode(o.Value)
	if err != nil {
		c.s.Log.Write(eventlog.ConfigObjectUnreadable, zap.Uint64("version", o.Version), zap.Error(err))
		return 0
	}
	c.offer(rollout.Platform, rollout.Version{Generation: generation, ChangeID: changeID}, text, 0, nil)
	return generation
}

// updateWatch starts or stops the watch on the platform, depending on whether this node is elected among the members of
// its failure domain.
func (c *Control) updateWatch(now time.Time) {
	defer c.meter.recordBusy(time.Now())
	peers := c.members.InDomain(c.s.Self.FailureDomain)
	c.mu.Lock()
	defer c.mu.Unlock()
	on := c.election.Decide(now, c.s.Self.ID, peers)
	switch {
	case on && c.stopWatch == nil:
		ctx, cancel := context.WithCancel(c.ctx)
		c.stopWatch = cancel
		c.goRun(func() { c.watchPlatform(ctx) })
	case !on && c.stopWatch != nil:
		c.stopWatch()
		c.stopWatch = nil
	}
}

// watchPlatform watches the configuration object until ctx is done. Failed watches are retried with backoff.
func (c *Control) watchPlatform(ctx context.Context) {
	backoff, version := minBackoff, uint64(0)
	for ctx.Err() == nil {
		c.meter.platformCalls.Add(1)
		o, err := c.s.Platform.Watch(ctx, configObject, version)
		if ctx.Err() != nil {
			return
		}
		c.offerObject(o, err)
		if err == nil && o.Version != version {
			version, backoff = o.Version, minBackoff
			continue
		}
		if !c.sleep(backoff) {
			return
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// sleep waits for a random time between 0.5 d and 1.5 d. It returns false if the control plane is closed before that.
func (c *Control) sleep(d time.Duration) bool {
	c.mu.Lock()
	d = d/2 + time.Duration(c.rng.Int64N(int64(d)))
	c.mu.Unlock()
	woken := make(chan struct{})
	cancel := c.s.Timers.After(d, func(time.Time) { close(woken) })
	defer cancel()
	select {
	case <-woken:
		return true
	case <-c.ctx.Done():
		return false
	}
}
