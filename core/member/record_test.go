package member_test

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/member"
	"mustardmast/internal/fleet"
)

var epoch = time.Unix(1_000_000, 0)

func view(own int, bound int) *member.Members {
	m := fleet.Member(own, 4)
	m.ID = mustardmast.NodeID(own + 1)
	return member.New(epoch, member.Settings{Self: m, MaxMembers: bound}, rand.New(rand.NewPCG(1, uint64(own))))
}

func states(m *member.Members, n int) map[mustardmast.NodeID]mustardmast.Member {
	out := map[mustardmast.NodeID]mustardmast.Member{}
	for id := range n {
		if v, ok := m.Find(mustardmast.NodeID(id)); ok {
			out[v.ID] = v
		}
	}
	return out
}

// Guards against views that differ forever because packets arrived in another order or twice.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var known, updates []member.Update
		for i := range 6 {
			m := fleet.Member(10+i, 4)
			m.ID = mustardmast.NodeID(100 + i)
			known = append(known, member.Update{Member: m})
		}
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			u := known[rapid.IntRange(0, 5).Draw(t, "member")]
			counter := rapid.Uint32Range(0, 4).Draw(t, "counter")
			declared := []mustardmast.MemberState{mustardmast.Ready, mustardmast.Draining, mustardmast.Joining}
			// A member declares one state per counter.
			u.Member.RefutationCounter, u.Member.State = counter, declared[(uint32(u.Member.ID)+counter)%3]
			if rapid.IntRange(0, 9).Draw(t, "left") == 0 {
				u.Member.RefutationCounter, u.Member.State = 9, mustardmast.Left
			} else {
				u.Liveness = member.Liveness(rapid.IntRange(0, 2).Draw(t, "liveness"))
			}
			u.Brief = rapid.Bool().Draw(t, "brief")
			updates = append(updates, u)
		}
		a, b := view(1, 0), view(1, 0)
		a.Merge(epoch, known)
		b.Merge(epoch, known)
		a.Merge(epoch, updates)
		b.Merge(epoch, rapid.Permutation(append(updates, updates...)).Draw(t, "order"))
		assert.Assert(t, reflect.DeepEqual(states(a, 200), states(b, 200)))
		assert.DeepEqual(t, a.Hashes(), b.Hashes())
	})
}

// Guards against a ready member that gets no calls for ever, because a packet of it, which carries its state and counter, has
// overtaken the record with its service.
func TestServiceOfMemberWhosePacketOvertakesItsRecord(t *testing.T) {
	joining := member.Update{Member: fleet.Member(10, 4)}
	joining.Member.ID, joining.Member.Service, joining.Member.Slots, joining.Member.State = 100, "", 0, mustardmast.Joining
	ready := joining
	ready.Member.State, ready.Member.RefutationCounter = mustardmast.Ready, 1
	brief := ready
	brief.Brief = true
	ready.Member.Service, ready.Member.Slots = "socket-board", 30
	v, complete := view(1, 0), view(1, 0)
	complete.Merge(epoch, []member.Update{joining, ready})
	v.Merge(epoch, []member.Update{joining, brief})
	assert.Equal(t, len(v.Serving("socket-board")), 0)
	assert.Assert(t, !reflect.DeepEqual(v.Hashes(), complete.Hashes()), "a sync would not find the missing record")
	page, _ := v.Page(member.SyncRequest{MaxBytes: 1 << 20})
	other := view(1, 0)
	other.Merge(epoch, []member.Update{joining})
	other.Merge(epoch, page)
	for _, m := range []*member.Members{v, other} {
		m.Merge(epoch, []member.Update{ready})
		got := m.Serving("socket-board")
		assert.Assert(t, len(got) == 1 && got[0].Slots == 30, "%v", got)
		assert.DeepEqual(t, m.Hashes(), complete.Hashes())
	}
}

// Guards against a starting node that knows only the members that have sent it something, for up to a minute, because the ack
// of a seed was lost or the first exchange failed.
func TestStartingNodeExchangesRecordsSoon(t *testing.T) {
	m := fleet.Member(1, 4)
	m.ID = 2
	v := member.New(epoch, member.Settings{Self: m, Seeds: []netip.AddrPort{fleet.Member(5, 4).Address}}, rand.New(rand.NewPCG(1, 1)))
	other := fleet.Member(10, 4)
	other.ID = 100
	requested := func(from, to time.Duration) time.Duration { // the other member acks pings meanwhile
		for d := from; d < to; d += 100 * time.Millisecond {
			out := v.Tick(epoch.Add(d))
			for _, p := range out.Packets {
				if p.To == other.Address && p.Packet.Kind == member.Ping {
					v.Receive(epoch.Add(d), other.Address, member.Packet{Kind: member.Ack, From: other.ID, To: m.ID, Sequence: p.Packet.Sequence, State: other.State}, 100)
				}
			}
			if len(out.SyncPeers) > 0 {
				return d
			}
		}
		return to
	}
	v.Receive(epoch.Add(time.Second), other.Address, member.Packet{Kind: member.Ping, From: other.ID, To: m.ID, Updates: []member.Update{{Member: other}}}, 100)
	first := requested(time.Second, time.Minute)
	assert.Assert(t, first <= 4*time.Second, "%v", first)
	v.SyncInterrupted(epoch.Add(first), true)
	second := requested(first+100*time.Millisecond, time.Minute)
	assert.Assert(t, second <= first+6*time.Second, "%v after %v", second, first)
	v.SyncCompleted()
	third := requested(second+100*time.Millisecond, 10*time.Minute)
	assert.Assert(t, third > second+30*time.Second, "%v after %v", third, second)
}

// Guards against unbounded growth of the member table, and against evicting a live member for a new one.
func TestTableIsBounded(t *testing.T) {
	m := view(1, 10)
	update := func(i int, liveness member.Liveness) member.Update {
		u := member.Update{Member: fleet.Member(10+i, 4), Liveness: liveness}
		u.Member.ID = mustardmast.NodeID(100 + i)
		return u
	}
	for i := range 9 {
		liveness := member.Alive
		if i < 2 {
			liveness = member.Faulty
		}
		m.Merge(epoch.Add(time.Duration(i)*time.Second), []member.Update{update(i, liveness)})
	}
	assert.Equal(t, m.Len(), 10)
	m.Merge(epoch.Add(time.Minute), []member.Update{update(20, member.Alive), update(21, member.Alive)})
	_, kept := m.Find(100)
	assert.Assert(t, !kept && m.Len() == 10 && m.Rejected() == 0)
	m.Merge(epoch.Add(time.Minute), []member.Update{update(22, member.Alive)})
	_, added := m.Find(122)
	assert.Assert(t, !added && m.Rejected() == 1)
	for i := 2; i < 9; i++ {
		_, kept := m.Find(mustardmast.NodeID(100 + i))
		assert.Assert(t, kept, "live member %d was evicted", i)
	}
}

// Guards against an old incarnation that a late packet restores, and against a new one that loses its address because
// its clock is behind.
func TestAddressBelongsToTheLatestIncarnation(t *testing.T) {
	m := view(1, 0)
	first := member.Update{Member: fleet.Member(10, 4), Started: 1000}
	first.Member.ID = 100
	second := first
	second.Member.ID, second.Started = 200, 2000
	m.Merge(epoch, []member.Update{first})
	out := m.Merge(epoch, []member.Update{second})
	assert.Assert(t, out.Changes[0].Superseded && out.Changes[0].Member.ID == 100)
	m.Merge(epoch, []member.Update{first})
	_, old := m.Find(100)
	_, current := m.Find(200)
	assert.Assert(t, !old && current)

	// A node whose clock is behind learns of its predecessor and advances its start time past it.
	late := view(30, 0)
	before := member.Update{Member: fleet.Member(30, 4), Started: uint64(epoch.UnixMilli()) + 60_000}
	before.Member.ID = 300
	other := view(2, 0)
	other.Merge(epoch, []member.Update{before})
	late.Merge(epoch, []member.Update{before})
	page, _ := late.Page(member.SyncRequest{MaxBytes: 1 << 20})
	other.Merge(epoch, page)
	_, old = other.Find(300)
	_, current = other.Find(31)
	assert.Assert(t, !old && current)
}

// Guards against new work for a draining member that is also suspected.
func TestServing(t *testing.T) {
	m := view(1, 0)
	us := []member.Update{}
	for i := range 3 {
		u := member.Update{Member: fleet.Member(10+i, 4)}
		u.Member.ID, u.Member.Service = mustardmast.NodeID(100+i), "socket-board"
		us = append(us, u)
	}
	us[1].Member.State = mustardmast.Draining
	m.Merge(epoch, us)
	assert.Equal(t, len(m.Serving("socket-board")), 2)
	for i := range us {
		us[i].Liveness = member.Suspected
	}
	m.Merge(epoch, us[:2])
	assert.Equal(t, len(m.Serving("socket-board")), 1)
	m.Merge(epoch, us)
	left := m.Serving("socket-board")
	assert.Assert(t, len(left) == 2 && left[0].ID == 100 && left[1].ID == 102, "suspected members serve if no member is ready")
}

// Guards the bound on the packet size when many updates are queued.
func TestPacketSizeIsBounded(t *testing.T) {
	f := newFleet(8, 90, 3)
	largest := 0
	f.OnReceive = func(_ *fleet.Node, _ time.Time, p member.Packet, _ mustardmast.NodeID) {
		largest = max(largest, p.Size())
	}
	for i, n := range f.Nodes {
		n.SetDigest(make([]byte, 100))
		if i%3 == 0 {
			n.Down = true
		}
	}
	f.Run(30 * time.Second)
	for _, n := range f.Nodes {
		f.Apply(n, n.Declare(f.Now(), mustardmast.Draining, "another-service", 7))
	}
	f.Run(10 * time.Second)
	assert.Assert(t, largest > 1000 && largest <= member.MaxPacket, "largest packet has %d bytes", largest)
}
