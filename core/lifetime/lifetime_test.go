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

func beat(id string, started, sequence int64) lifetime.Announcement {
	return lifetime.Announcement{ID: id, Service: "watch", Address: address, Slots: 30, Sequence: sequence, StartedMS: started}
}

func state(t *testing.T, l *lifetime.Tracker, id string, s lifetime.State) {
	t.Helper()
	got := l.Target()
	assert.Equal(t, got.ID, id)
	assert.Equal(t, got.State.String(), s.String())
}

// Guards against an announcement that was held up bringing back a lifetime that has ended.
func TestALateAnnouncementDoesNotReplaceALaterLifetime(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(beat("old", 1000, 7)))
	assert.Assert(t, l.Announce(beat("new", 2000, 1)))
	assert.Assert(t, !l.Announce(beat("old", 1000, 8)))
	state(t, l, "new", lifetime.Ready)
}

// Guards against an announcement that overtook another one of the same lifetime, and against a target that says it
// leaves being used again.
func TestAnnouncementsOfOneLifetimeInOrder(t *testing.T) {
	l := lifetime.New(address)
	leaving := beat("a", 1000, 5)
	leaving.Draining = true
	assert.Assert(t, l.Announce(leaving))
	assert.Assert(t, !l.Announce(beat("a", 1000, 4)))
	state(t, l, "a", lifetime.Draining)
	l.Deregister(lifetime.Deregistration{ID: "a"})
	assert.Assert(t, !l.Announce(beat("a", 1000, 6)))
	state(t, l, "a", lifetime.Gone)
}

// Guards against a target that starts again under its old id being taken for the lifetime that has ended.
func TestTheSameIDStartsAgain(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(beat("a", 1000, 50)))
	assert.Assert(t, l.Announce(beat("a", 3000, 1)), "the sequence begins anew")
	l.Deregister(lifetime.Deregistration{ID: "a"})
	assert.Assert(t, l.Announce(beat("a", 4000, 1)))
	state(t, l, "a", lifetime.Ready)
}

// Guards against a target that leaves being used again where its node restarted just before: the node knew nothing of it when
// it said that it goes, and took an announcement that came late for a new start. Seen on a day of the Araba hunt.
func TestALateAnnouncementAfterLeavingAFreshNode(t *testing.T) {
	l := lifetime.New(address)
	l.Deregister(lifetime.Deregistration{ID: "a", Received: time.UnixMilli(5000)})
	assert.Assert(t, !l.Announce(beat("a", 1000, 9)))
	state(t, l, "", lifetime.Absent)
	assert.Assert(t, l.Announce(beat("a", 6000, 1)), "it has started again")
	state(t, l, "a", lifetime.Ready)

	assumed := lifetime.New(address)
	assert.Assert(t, assumed.Assume("a", "watch", 30))
	assumed.Deregister(lifetime.Deregistration{ID: "a", Received: time.UnixMilli(5000)})
	assert.Assert(t, !assumed.Announce(beat("a", 1000, 9)))
	state(t, assumed, "a", lifetime.Gone)
}

// Guards against the late word of an earlier start under the same id taking the present one out.
func TestAnEarlierStartLeavesLate(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(beat("a", 3000, 1)))
	l.Deregister(lifetime.Deregistration{ID: "a", StartedMS: 1000, Received: time.UnixMilli(5000)})
	state(t, l, "a", lifetime.Ready)
	assert.Assert(t, l.Announce(beat("a", 3000, 2)))
	l.Deregister(lifetime.Deregistration{ID: "a", StartedMS: 3000, Received: time.UnixMilli(5000)})
	state(t, l, "a", lifetime.Gone)
}

// Guards against another writer's announcement for an address that is not the target's.
func TestAnotherAddress(t *testing.T) {
	l := lifetime.New(address)
	a := beat("a", 1000, 1)
	a.Address = netip.MustParseAddrPort("10.0.0.2:80")
	assert.Assert(t, !l.Announce(a))
	state(t, l, "", lifetime.Absent)
}

// Guards against a target that refused one connection staying out although it announces itself.
func TestALostTargetComesBackWithItsNextAnnouncement(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Announce(beat("a", 1000, 1)))
	assert.Assert(t, l.MarkLost("a"))
	assert.Assert(t, !l.MarkLost("a"), "only once")
	state(t, l, "a", lifetime.Gone)
	assert.Assert(t, l.Announce(beat("a", 1000, 2)))
	state(t, l, "a", lifetime.Ready)
}

// Guards against a guess that outlives the first announcement, or that stands in for a lifetime that has left.
func TestAssume(t *testing.T) {
	l := lifetime.New(address)
	assert.Assert(t, l.Assume("a", "watch", 30))
	state(t, l, "a", lifetime.Ready)
	assert.Assert(t, l.Announce(beat("b", 1000, 1)))
	state(t, l, "b", lifetime.Ready)
	assert.Assert(t, !l.Assume("c", "watch", 30))
	gone := lifetime.New(address)
	gone.Deregister(lifetime.Deregistration{ID: "a"})
	assert.Assert(t, !gone.Assume("a", "watch", 30))
}
