package lifetime_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/lifetime"
)

var (
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

func announcement(id string, started, sequence int64) lifetime.Announcement {
	return lifetime.Announcement{ID: id, Service: "watch", Address: address, Slots: 30, Sequence: sequence, StartedMS: started}
}

func assertState(t *testing.T, l *lifetime.Tracker, id string, s lifetime.State) {
	t.Helper()
	got := l.Target()
	assert.Equal(t, got.ID, id)
	assert.Equal(t, got.State.String(), s.String())
}

// Guards against a delayed announcement that restores a lifetime which has ended.
func TestStaleAnnouncementDoesNotReplaceNewerLifetime(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(announcement("old", 1000, 7)))
	assert.Assert(t, l.Announce(announcement("new", 2000, 1)))
	assert.Assert(t, !l.Announce(announcement("old", 1000, 8)))
	assertState(t, l, "new", lifetime.Ready)
}

// Guards against announcements of one lifetime that arrive out of order, and against a target that is used again after
// it announced its shutdown.
func TestReorderedAnnouncementsOfOneLifetime(t *testing.T) {
	l := lifetime.New(address)
	draining := announcement("a", 1000, 5)
	draining.Draining = true
	assert.Assert(t, l.Announce(draining))
	assert.Assert(t, !l.Announce(announcement("a", 1000, 4)))
	assertState(t, l, "a", lifetime.Draining)
	l.Deregister(lifetime.Deregistration{ID: "a"})
	assert.Assert(t, !l.Announce(announcement("a", 1000, 6)))
	assertState(t, l, "a", lifetime.Gone)
}

// Guards against a target that restarts under its previous ID and is taken for the lifetime that has ended.
func TestRestartUnderSameID(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(announcement("a", 1000, 50)))
	assert.Assert(t, l.Announce(announcement("a", 3000, 1)), "a restart begins a new sequence")
	l.Deregister(lifetime.Deregistration{ID: "a"})
	assert.Assert(t, l.Announce(announcement("a", 4000, 1)))
	assertState(t, l, "a", lifetime.Ready)
}

// Guards against a deregistered target that is used again at a node that restarted just before the deregistration. That
// node did not know the target, so it took a delayed announcement for a new start.
func TestStaleAnnouncementAfterDeregistrationAtRestartedNode(t *testing.T) {
	l := lifetime.New(address)
	l.Deregister(lifetime.Deregistration{ID: "a", Received: time.UnixMilli(5000)})
	assert.Assert(t, !l.Announce(announcement("a", 1000, 9)))
	assertState(t, l, "", lifetime.Absent)
	assert.Assert(t, l.Announce(announcement("a", 6000, 1)), "a later start is accepted")
	assertState(t, l, "a", lifetime.Ready)

	assumed := lifetime.New(address)
	assert.Assert(t, assumed.Assume("a", "watch", 30))
	assumed.Deregister(lifetime.Deregistration{ID: "a", Received: time.UnixMilli(5000)})
	assert.Assert(t, !assumed.Announce(announcement("a", 1000, 9)))
	assertState(t, assumed, "a", lifetime.Gone)
}

// Guards against the delayed deregistration of an earlier start under the same ID that removes the current lifetime.
func TestLateDeregistrationOfEarlierStart(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(announcement("a", 3000, 1)))
	l.Deregister(lifetime.Deregistration{ID: "a", StartedMS: 1000, Received: time.UnixMilli(5000)})
	assertState(t, l, "a", lifetime.Ready)
	assert.Assert(t, l.Announce(announcement("a", 3000, 2)))
	l.Deregister(lifetime.Deregistration{ID: "a", StartedMS: 3000, Received: time.UnixMilli(5000)})
	assertState(t, l, "a", lifetime.Gone)
}

// Guards against an announcement by another process for an address that is not the target's.
func TestAnnouncementForAnotherAddress(t *testing.T) {
	l := lifetime.New(address)
	a := announcement("a", 1000, 1)
	a.Address = netip.MustParseAddrPort("10.0.0.2:80")
	assert.Assert(t, !l.Announce(a))
	assertState(t, l, "", lifetime.Absent)
}

// Guards against a target that refused one connection and stays out of use although it announces itself.
func TestLostTargetReturnsWithNextAnnouncement(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(announcement("a", 1000, 1)))
	assert.Assert(t, l.MarkLost("a"))
	assert.Assert(t, !l.MarkLost("a"), "only once")
	assertState(t, l, "a", lifetime.Gone)
	assert.Assert(t, l.Announce(announcement("a", 1000, 2)))
	assertState(t, l, "a", lifetime.Ready)
}

// Guards against an assumed lifetime that outlives the first announcement, or that replaces a deregistered one.
func TestAssume(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Assume("a", "watch", 30))
	assertState(t, l, "a", lifetime.Ready)
	assert.Assert(t, l.Announce(announcement("b", 1000, 1)))
	assertState(t, l, "b", lifetime.Ready)
	assert.Assert(t, !l.Assume("c", "watch", 30))
	deregistered := lifetime.New(address)
	deregistered.Deregister(lifetime.Deregistration{ID: "a"})
	assert.Assert(t, !deregistered.Assume("a", "watch", 30))
}

// Guards against a target that gets requests again although one of its responses has stated that it shuts down.
func TestLeavingLifetimeStaysDraining(t *testing.T) {
	for _, started := range []int64{1000, 0} {
		l := lifetime.New(address)
		assert.Assert(t, l.Announce(announcement("a", started, 1)))
		before := l.Target()
		assert.Assert(t, l.MarkLeaving(time.UnixMilli(5000), before))
		assert.Assert(t, !l.MarkLeaving(time.UnixMilli(5000), before), "only once")
		assertState(t, l, "a", lifetime.Draining)
		assert.Assert(t, l.Announce(announcement("a", started, 2)))
		assertState(t, l, "a", lifetime.Draining)
		assert.Assert(t, l.Announce(announcement("a", 6000, 1)), "a later start under the same ID")
		assertState(t, l, "a", lifetime.Ready)
		assert.Assert(t, !l.MarkLeaving(time.UnixMilli(7000), before), "a late response of the earlier start")
		assertState(t, l, "a", lifetime.Ready)
	}
}

// Guards against a response that is taken for that of another lifetime because the target has announced itself since the
// call was sent, and against one of an earlier start under the same ID that is not.
func TestResponseToCallSentToAssumedLifetime(t *testing.T) {
	for started, current := range map[int64]bool{1000: true, 0: true, 6000: false} {
		l := lifetime.New(address)
		assert.Assert(t, l.Assume("a", "watch", 30))
		before, sent := l.Target(), time.UnixMilli(5000)
		assert.Assert(t, l.Announce(announcement("a", started, 1)))
		assert.Equal(t, l.IsCurrent(sent, before), current)
		assert.Equal(t, l.MarkLeaving(sent, before), current)
		assert.Equal(t, l.Target().State == lifetime.Draining, current)
		assert.Assert(t, l.Announce(announcement("b", 7000, 1)))
		assert.Assert(t, !l.IsCurrent(sent, before), "another lifetime")
	}
}

// Guards against a target that is used at its next announcement although its health response has stated that it shuts
// down, and against one that is not used after it has started again.
func TestLeavingThatOnlyTheHealthResponseStates(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, !l.MarkLeaving(time.UnixMilli(5000), lifetime.Target{ID: "a", Assumed: true}), "no target is known")
	assert.Assert(t, !l.Assume("a", "watch", 30))
	assert.Assert(t, l.Announce(announcement("a", 1000, 1)))
	assertState(t, l, "a", lifetime.Draining)
	assert.Assert(t, l.Announce(announcement("a", 6000, 1)), "a later start under the same ID")
	assertState(t, l, "a", lifetime.Ready)
	announcedMeanwhile := lifetime.New(address)
	assert.Assert(t, announcedMeanwhile.Announce(announcement("a", 1000, 1)))
	assert.Assert(t, announcedMeanwhile.MarkLeaving(time.UnixMilli(5000), lifetime.Target{ID: "a", Assumed: true}))
	assertState(t, announcedMeanwhile, "a", lifetime.Draining)
}
