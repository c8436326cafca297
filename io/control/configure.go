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
	firstBackoff = time.Second
	lastBackoff  = 30 * time.Second
	// lastWatchBackoff bounds the time between watches of an unavailable platform. A change that is accepted right after
	// an outage must be in force within 8 s, and nobody but the watchers learns of it first; 30 s and its jitter let
	// 45 s pass. Two watchers per failure domain keep the calls few.
	lastWatchBackoff = 2 * time.Second
	conflictEvery    = time.Minute
)

// heardGeneration takes in the generation that a datagram carries.
func (c *Control) heardGeneration(now time.Time, p member.Packet) {
	have := c.rollout.Current()
	if p.Generation > have.Generation {
		c.spreadDo(now, c.spread.Learned(now, p.Generation, p.From))
		return
	}
	if p.Generation == 0 || p.Generation < have.Generation || p.ChangeHash == changeHash(have.ChangeID) {
		return
	}
	// The same generation with another change: ask for its name, so that the alarm can tell it.
	c.mu.Lock()
	due := now.Sub(c.conflictAt) >= conflictEvery
	if due {
		c.conflictAt = now
	}
	c.mu.Unlock()
	if due {
		c.goRun(func() { c.pullFrom(p.From) })
	}
}

func (c *Control) spreadDo(now time.Time, out dissemination.Output) {
	if out.Notify > 0 {
		c.do(c.members.AnnounceConfig(now, out.Notify))
	}
	if out.Pull != 0 && c.ctx.Err() == nil {
		c.goRun(func() {
			c.pullFrom(out.Pull)
			now := c.s.Timers.Now()
			c.spreadDo(now, c.spread.Pulled(now))
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

// pull asks a peer for what this node lacks and offers it. It returns the peer's generation.
func (c *Control) pull(from netip.AddrPort) (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	generation, changeID, text := c.history.Text()
	resp, err := c.client.to(from).Config(ctx, &controlv1.ConfigRequest{
		From: uint64(c.s.Self.ID), HaveGeneration: generation, HaveChangeId: changeID,
	})
	if err != nil {
		return 0, errors.Wrap(err, "ask for the configuration")
	}
	began := time.Now()
	defer func() { c.meter.busy(began) }()
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
		return resp.Generation, errors.Errorf("text of generation %d has another hash than its sender's", v.Generation)
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

// offer puts a newer configuration in force and tells everybody, or raises an alarm. The edits lead from generation
// base to v; without edits the text stands alone.
func (c *Control) offer(s rollout.Source, v rollout.Version, text []byte, base uint64, edits []dissemination.Edit) {
	installed, alarm := c.rollout.Offer(s, v, func() error {
		if err := c.s.Install(v.Generation, v.ChangeID, text); err != nil {
			c.s.Log.Write(eventlog.ConfigRejected, zap.Uint64("generation", v.Generation), zap.Error(err))
			return err
		}
		// Offers are handled one at a time, so the history cannot move between the check and the change.
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
		c.spreadDo(now, c.spread.Installed(now, v.Generation))
	}
}

// configSince returns the edits since a version, or the whole text if that version is not in the history.
func (c *Control) configSince(generation uint64, changeID string) *controlv1.ConfigResponse {
	have, id, text := c.history.Text()
	resp := &controlv1.ConfigResponse{Generation: have, ChangeId: id}
	if have <= generation {
		return resp
	}
	resp.TextHash = xxhash.Sum64(text)
	edits, ok := c.history.Since(generation, changeID)
	if !ok || len(edits) == 0 || edits[len(edits)-1].Generation != have {
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

// askSeed asks one seed at the start. It is asked once; later news comes with gossip.
func (c *Control) askSeed(seed netip.AddrPort) {
	generation, err := c.pull(seed)
	if err != nil {
		c.s.Log.Write(eventlog.SeedSilent, zap.Stringer("seed", seed), zap.Error(err))
	}
	c.rollout.SourceResponded(c.s.Timers.Now(), generation)
}

// readPlatform asks the platform at the start, again and again until some source had a configuration.
func (c *Control) readPlatform() {
	responded := false
	for backoff := firstBackoff; c.ctx.Err() == nil; backoff = min(2*backoff, lastBackoff) {
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

// offerObject offers the platform's configuration object. It returns its generation, or 0.
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

// decide starts or stops the watch on the platform, according to the members of the own failure domain.
func (c *Control) decide(now time.Time) {
	defer c.meter.busy(time.Now())
	peers := c.members.InDomain(c.s.Self.FailureDomain)
	c.mu.Lock()
	defer c.mu.Unlock()
	on := c.watch.Decide(now, c.s.Self.ID, peers)
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

// watchPlatform holds one watch after the other.
func (c *Control) watchPlatform(ctx context.Context) {
	backoff, version := firstBackoff, uint64(0)
	for ctx.Err() == nil {
		c.meter.platformCalls.Add(1)
		o, err := c.s.Platform.Watch(ctx, configObject, version)
		if ctx.Err() != nil {
			return
		}
		c.offerObject(o, err)
		if err == nil && o.Version != version {
			version, backoff = o.Version, firstBackoff
			continue
		}
		if !c.sleep(backoff) {
			return
		}
		backoff = min(2*backoff, lastWatchBackoff)
	}
}

// sleep waits for d, give or take half, and returns false if the control plane stops.
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
