package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/internal/soak"
)

var start = time.Unix(1000, 0)

const crashing = quarantine.Fingerprint(77)

func members(ids ...mustardmast.NodeID) []mustardmast.Member {
	var l []mustardmast.Member
	for _, id := range ids {
		l = append(l, mustardmast.Member{ID: id, State: mustardmast.Ready})
	}
	return l
}

// Guards against a digest that depends on how a body is split up, and against different contents with the same digest.
func TestHasherDigestIgnoresChunking(t *testing.T) {
	soak.Check(t, func(t *rapid.T) {
		body := make([]byte, rapid.IntRange(0, quarantine.PrefixSize+100).Draw(t, "size"))
		for i := range body {
			body[i] = byte(i * 7)
		}
		whole := quarantine.NewHasher(int64(len(body)))
		whole.Write(body)
		parts := quarantine.NewHasher(int64(len(body)))
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			parts.Write(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, parts.Sum(), whole.Sum())
		assert.Equal(t, whole.Full(), len(body) >= quarantine.PrefixSize)
		other := quarantine.NewHasher(int64(len(body)) + 1)
		other.Write(body)
		assert.Assert(t, other.Sum() != whole.Sum())
	})
	assert.Assert(t, quarantine.FingerprintOf("a", "bc", "d", 1) != quarantine.FingerprintOf("ab", "c", "d", 1))
}

// Guards against nodes that disagree after merging the same updates in a different order or more than once.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	soak.Check(t, func(t *rapid.T) {
		event := func(kind uint64, n int) quarantine.Event { // the same id always has the same age
			return quarantine.Event{ID: kind<<63 | uint64(n+1), Age: time.Duration(n+1) * time.Minute}
		}
		none := quarantine.Event{Age: quarantine.Never}
		var updates []quarantine.Update
		for range rapid.IntRange(2, 5).Draw(t, "updates") {
			u := quarantine.Update{Fingerprint: crashing, Completed: none, Cleared: none}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 4, rapid.ID[int]).Draw(t, "crashes") {
				u.Crashes = append(u.Crashes, event(uint64(i%4/3), i))
			}
			if rapid.Bool().Draw(t, "completed") {
				u.Completed = event(0, rapid.IntRange(0, 7).Draw(t, "when"))
			}
			if rapid.IntRange(0, 4).Draw(t, "cleared") == 0 {
				u.Cleared = event(0, rapid.IntRange(0, 7).Draw(t, "when"))
			}
			updates = append(updates, u)
		}
		a, b := quarantine.New(1), quarantine.New(2)
		a.Merge(start, updates)
		for _, i := range rapid.Permutation(indexes(len(updates))).Draw(t, "order") {
			b.Merge(start, updates[i:i+1])
			if rapid.Bool().Draw(t, "twice") {
				b.Merge(start, updates[i:i+1])
			}
		}
		assert.DeepEqual(t, a.UpdatesFor(start, []quarantine.Fingerprint{crashing}), b.UpdatesFor(start, []quarantine.Fingerprint{crashing}))
		assert.Equal(t, a.State(start, crashing), b.State(start, crashing))
		assert.Assert(t, !a.Merge(start, b.GossipUpdates(start, 1000)))
	})
}

func indexes(n int) []int {
	l := make([]int, n)
	for i := range l {
		l[i] = i
	}
	return l
}

// Guards against quarantining a request that was only present at crashes, and against a culprit that is never
// quarantined.
func TestPathToQuarantine(t *testing.T) {
	q := quarantine.New(1)
	serving := members(1)
	present := quarantine.Fingerprint(5)
	for n := range uint32(3) {
		q.RecordCrash(start, 2, n, []quarantine.Fingerprint{crashing, present})
	}
	assert.Equal(t, q.State(start, crashing), quarantine.Suspect) // it never ran in isolation
	q.RecordCompletion(start.Add(time.Second), present)
	assert.Equal(t, q.State(start.Add(time.Second), present), quarantine.Clear)

	_, err := q.Admit(start, crashing, members(2))
	assert.Equal(t, fault.KindOf(err), fault.Shed)
	isolated, err := q.Admit(start, crashing, serving)
	assert.Assert(t, isolated && err == nil)
	for _, f := range []quarantine.Fingerprint{crashing, present, 6} {
		_, err = q.Admit(start.Add(time.Second), f, serving)
		assert.Equal(t, fault.KindOf(err), fault.Shed, "%d runs at the same time as a suspect", f)
	}
	q.RecordCrash(start, 1, 1, []quarantine.Fingerprint{crashing, 6}) // while it waits for the target to become idle
	assert.Equal(t, q.State(start, crashing), quarantine.Suspect)
	q.RecordCrash(start, 1, 2, []quarantine.Fingerprint{crashing})
	q.ReleaseTarget(crashing)
	_, err = q.Admit(start, crashing, serving)
	assert.Equal(t, fault.KindOf(err), fault.Quarantined)
	q.RecordCompletion(start.Add(time.Second), crashing) // a copy that had started earlier
	assert.Equal(t, q.State(start.Add(time.Second), crashing), quarantine.Quarantined)

	end := start.Add(quarantine.EvidenceTTL + time.Second)
	assert.Equal(t, q.State(end, crashing), quarantine.Clear)
	q.Tick(end.Add(time.Second))
	assert.Equal(t, len(q.GossipUpdates(end, 1<<20)), 0)
}

// Guards against an operator's clear that is undone by older updates from a peer.
func TestOlderUpdatesDoNotUndoClear(t *testing.T) {
	a, b, c := quarantine.New(1), quarantine.New(2), quarantine.New(3)
	for n := range uint32(2) {
		a.RecordCrash(start, 1, n, []quarantine.Fingerprint{crashing})
		b.RecordCrash(start, 2, n, []quarantine.Fingerprint{crashing})
	}
	now := start.Add(time.Minute)
	a.Clear(now, crashing)
	a.Merge(now, b.GossipUpdates(now, 1000)) // a did not know of these crashes at the time of the clear
	c.Merge(now, b.GossipUpdates(now, 1000))
	c.Merge(now, a.GossipUpdates(now, 1000))
	for _, q := range []*quarantine.Quarantine{a, c} {
		assert.Equal(t, q.State(now, crashing), quarantine.Clear)
		assert.Equal(t, len(q.List(now)), 0)
	}
	// Updates that are delayed for a minute make the old crashes appear later than the clear.
	delayed := b.UpdatesFor(start.Add(time.Second), []quarantine.Fingerprint{crashing})
	d := quarantine.New(4)
	now = now.Add(time.Minute)
	for _, q := range []*quarantine.Quarantine{c, d} {
		q.Merge(now, delayed)
		q.Merge(now, a.UpdatesFor(now, []quarantine.Fingerprint{crashing}))
		a.Merge(now, q.UpdatesFor(now, []quarantine.Fingerprint{crashing}))
	}
	for _, q := range []*quarantine.Quarantine{a, c, d} {
		assert.Equal(t, q.State(now, crashing), quarantine.Clear)
	}
	later := now.Add(5 * time.Second)
	for n := range uint32(2) {
		c.RecordCrash(later, 3, n, []quarantine.Fingerprint{crashing})
	}
	a.Merge(later, c.GossipUpdates(later, 1000))
	assert.Equal(t, a.State(later, crashing), quarantine.Suspect)
}

// Guards against quarantining without a crash of a target that executed nothing else, and against a clear that does not
// last, for any order of crashes, completions, clears and delayed updates between five nodes.
func TestPresenceDoesNotQuarantine(t *testing.T) {
	soak.Check(t, func(t *rapid.T) {
		now := start
		nodes, inbox := make([]*quarantine.Quarantine, 5), make([][]quarantine.Update, 5)
		for i := range nodes {
			nodes[i] = quarantine.New(mustardmast.NodeID(i + 1))
		}
		pick := func(n int) int { return rapid.SampledFrom(indexes(n)).Draw(t, "pick") }
		deliver := func(i int) {
			nodes[i].Merge(now, inbox[i])
			inbox[i] = nil
		}
		send := func(from, to int) {
			inbox[to] = append(inbox[to], nodes[from].GossipUpdates(now, 400)...)
		}
		for n := range uint32(60) {
			now = now.Add(time.Duration(pick(1000)) * time.Millisecond)
			i := pick(5)
			switch pick(6) {
			case 0:
				nodes[i].RecordCrash(now, mustardmast.NodeID(i+1), n, []quarantine.Fingerprint{crashing, 5, 6}[:2+pick(2)])
			case 1:
				nodes[i].RecordCompletion(now, quarantine.Fingerprint(5+pick(2)))
			case 2:
				send(i, pick(5))
			default: // everything in transit to a node arrives, whatever its delay
				deliver(i)
			}
			for _, q := range nodes {
				for _, it := range q.List(now) {
					assert.Assert(t, it.State != quarantine.Quarantined)
				}
			}
		}
		nodes[pick(5)].Clear(now, crashing)
		for range 5 {
			for i := range 25 {
				inbox[i%5] = append(inbox[i%5], nodes[i/5].UpdatesFor(now, []quarantine.Fingerprint{crashing})...)
			}
			now = now.Add(200 * time.Millisecond)
			for i := range nodes {
				deliver(i)
			}
		}
		for i, q := range nodes {
			assert.Equal(t, q.State(now, crashing), quarantine.Clear, "node %d", i)
		}
	})
}

// Guards against growth beyond the limits, and against quarantined fingerprints that are evicted by a flood of
// evidence.
func TestFullTableKeepsQuarantined(t *testing.T) {
	q := quarantine.New(1)
	q.RecordCrash(start, 2, 1, []quarantine.Fingerprint{crashing})
	q.RecordCrash(start, 2, 2, []quarantine.Fingerprint{crashing})
	_, err := q.Admit(start, crashing, members(1))
	assert.NilError(t, err)
	q.RecordCrash(start, 1, 1, []quarantine.Fingerprint{crashing})
	q.ReleaseTarget(crashing)
	for f := range quarantine.Fingerprint(3_000) {
		q.RecordCrash(start, 1, 2+uint32(f), []quarantine.Fingerprint{1000 + f})
	}
	assert.Equal(t, len(q.List(start)), 1024)
	assert.Equal(t, q.List(start)[0].Fingerprint, crashing)
	for range 20 {
		size := 0
		for _, u := range q.GossipUpdates(start, 1000) {
			size += u.Size()
		}
		assert.Assert(t, size > 0 && size <= 1000)
	}
}

func ExampleQuarantine() {
	first, second := quarantine.New(1), quarantine.New(2)
	f := quarantine.FingerprintOf("gallery", "resize", "quarry", 0xfeed)
	fmt.Println(first.State(start, f))

	first.RecordCrash(start, 1, 1, []quarantine.Fingerprint{f})
	second.RecordCrash(start, 2, 1, []quarantine.Fingerprint{f})
	first.Merge(start, second.GossipUpdates(start, 1000))
	fmt.Println(first.State(start, f))

	isolated, _ := first.Admit(start, f, members(1))
	first.RecordCrash(start, 1, 2, []quarantine.Fingerprint{f})
	first.ReleaseTarget(f)
	fmt.Println(isolated, first.State(start, f))
	// Output:
	// clear
	// suspect
	// true quarantined
}

func BenchmarkAdmitAndComplete(b *testing.B) {
	q := quarantine.New(1)
	serving := members(1, 2, 3)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		f := quarantine.Fingerprint(1)
		for pb.Next() {
			f++
			if _, err := q.Admit(start, f, serving); err != nil {
				b.Error(err)
			}
			q.RecordCompletion(start, f)
		}
	})
}

// Guards against a suspect that runs alone at a target which crashes with every request, and is convicted there.
func TestSuspectRunsWhereItHasNotCrashed(t *testing.T) {
	all := members(1, 2, 3, 4)
	for f := quarantine.Fingerprint(1); f < 50; f++ {
		q := quarantine.New(1)
		q.RecordCrash(start, 2, 1, []quarantine.Fingerprint{f, 1000})
		q.RecordCrash(start.Add(time.Second), 3, 1, []quarantine.Fingerprint{f, 1001})
		m, suspect, err := q.Check(start.Add(2*time.Second), f, all)
		assert.NilError(t, err)
		assert.Assert(t, suspect)
		assert.Assert(t, m.ID == 1 || m.ID == 4, "member %d", m.ID)
		m, suspect, err = q.Check(start.Add(2*time.Second), f, all[1:3])
		assert.NilError(t, err)
		assert.Assert(t, suspect && (m.ID == 2 || m.ID == 3), "without another member")
	}
}
