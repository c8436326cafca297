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

const bad = quarantine.Fingerprint(77)

func members(ids ...mustardmast.NodeID) []mustardmast.Member {
	var l []mustardmast.Member
	for _, id := range ids {
		l = append(l, mustardmast.Member{ID: id, State: mustardmast.Ready})
	}
	return l
}

// Guards against a digest that depends on how a body arrives, and against contents that share one.
func TestDigestOfAStream(t *testing.T) {
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

// Guards against nodes that disagree after they exchanged the same news in another order or more than once.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	soak.Check(t, func(t *rapid.T) {
		mark := func(kind uint64, n int) quarantine.Event { // one id always has one age
			return quarantine.Event{ID: kind<<63 | uint64(n+1), Age: time.Duration(n+1) * time.Minute}
		}
		none := quarantine.Event{Age: quarantine.Never}
		var news []quarantine.Update
		for range rapid.IntRange(2, 5).Draw(t, "pieces") {
			n := quarantine.Update{Fingerprint: bad, Completed: none, Cleared: none}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 4, rapid.ID[int]).Draw(t, "crashes") {
				n.Crashes = append(n.Crashes, mark(uint64(i%4/3), i))
			}
			if rapid.Bool().Draw(t, "passed") {
				n.Completed = mark(0, rapid.IntRange(0, 7).Draw(t, "when"))
			}
			if rapid.IntRange(0, 4).Draw(t, "cleared") == 0 {
				n.Cleared = mark(0, rapid.IntRange(0, 7).Draw(t, "when"))
			}
			news = append(news, n)
		}
		a, b := quarantine.New(1), quarantine.New(2)
		a.Merge(start, news)
		for _, i := range rapid.Permutation(indexes(len(news))).Draw(t, "order") {
			b.Merge(start, news[i:i+1])
			if rapid.Bool().Draw(t, "twice") {
				b.Merge(start, news[i:i+1])
			}
		}
		assert.DeepEqual(t, a.UpdatesFor(start, []quarantine.Fingerprint{bad}), b.UpdatesFor(start, []quarantine.Fingerprint{bad}))
		assert.Equal(t, a.State(start, bad), b.State(start, bad))
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

// Guards against the conviction of what was only present, and against a culprit that is never convicted.
func TestPathToQuarantine(t *testing.T) {
	q := quarantine.New(1)
	only := members(1)
	present := quarantine.Fingerprint(5)
	for n := range uint32(3) {
		q.RecordCrash(start, 2, n, []quarantine.Fingerprint{bad, present})
	}
	assert.Equal(t, q.State(start, bad), quarantine.Suspect) // it never ran alone
	q.RecordCompletion(start.Add(time.Second), present)
	assert.Equal(t, q.State(start.Add(time.Second), present), quarantine.Clear)

	_, err := q.Admit(start, bad, members(2))
	assert.Equal(t, fault.KindOf(err), fault.Shed)
	alone, err := q.Admit(start, bad, only)
	assert.Assert(t, alone && err == nil)
	for _, f := range []quarantine.Fingerprint{bad, present, 6} {
		_, err = q.Admit(start.Add(time.Second), f, only)
		assert.Equal(t, fault.KindOf(err), fault.Shed, "%d runs beside a suspect", f)
	}
	q.RecordCrash(start, 1, 1, []quarantine.Fingerprint{bad, 6}) // while bad waits for the target to become idle
	assert.Equal(t, q.State(start, bad), quarantine.Suspect)
	q.RecordCrash(start, 1, 2, []quarantine.Fingerprint{bad})
	q.ReleaseTarget(bad)
	_, err = q.Admit(start, bad, only)
	assert.Equal(t, fault.KindOf(err), fault.Quarantined)
	q.RecordCompletion(start.Add(time.Second), bad) // a copy that had started earlier
	assert.Equal(t, q.State(start.Add(time.Second), bad), quarantine.Quarantined)

	end := start.Add(quarantine.EvidenceTTL + time.Second)
	assert.Equal(t, q.State(end, bad), quarantine.Clear)
	q.Tick(end.Add(time.Second))
	assert.Equal(t, len(q.GossipUpdates(end, 1<<20)), 0)
}

// Guards against an operator's clear that older news from a peer undoes.
func TestClearHoldsAgainstOlderNews(t *testing.T) {
	a, b, c := quarantine.New(1), quarantine.New(2), quarantine.New(3)
	for n := range uint32(2) {
		a.RecordCrash(start, 1, n, []quarantine.Fingerprint{bad})
		b.RecordCrash(start, 2, n, []quarantine.Fingerprint{bad})
	}
	now := start.Add(time.Minute)
	a.Clear(now, bad)
	a.Merge(now, b.GossipUpdates(now, 1000)) // a had not heard of these crashes when it was cleared
	c.Merge(now, b.GossipUpdates(now, 1000))
	c.Merge(now, a.GossipUpdates(now, 1000))
	for _, q := range []*quarantine.Quarantine{a, c} {
		assert.Equal(t, q.State(now, bad), quarantine.Clear)
		assert.Equal(t, len(q.List(now)), 0)
	}
	// News of the old crashes that was held up for a minute makes them look younger than the clear.
	held := b.UpdatesFor(start.Add(time.Second), []quarantine.Fingerprint{bad})
	d := quarantine.New(4)
	now = now.Add(time.Minute)
	for _, q := range []*quarantine.Quarantine{c, d} {
		q.Merge(now, held)
		q.Merge(now, a.UpdatesFor(now, []quarantine.Fingerprint{bad}))
		a.Merge(now, q.UpdatesFor(now, []quarantine.Fingerprint{bad}))
	}
	for _, q := range []*quarantine.Quarantine{a, c, d} {
		assert.Equal(t, q.State(now, bad), quarantine.Clear)
	}
	later := now.Add(5 * time.Second)
	for n := range uint32(2) {
		c.RecordCrash(later, 3, n, []quarantine.Fingerprint{bad})
	}
	a.Merge(later, c.GossipUpdates(later, 1000))
	assert.Equal(t, a.State(later, bad), quarantine.Suspect)
}

// Guards against a conviction without a crash of a target that ran nothing else, and against a clear that does not
// last, for any order of crashes, completions, clears and delayed news between five nodes.
func TestNobodyIsConvictedByPresence(t *testing.T) {
	soak.Check(t, func(t *rapid.T) {
		now := start
		nodes, mail := make([]*quarantine.Quarantine, 5), make([][]quarantine.Update, 5)
		for i := range nodes {
			nodes[i] = quarantine.New(mustardmast.NodeID(i + 1))
		}
		pick := func(n int) int { return rapid.SampledFrom(indexes(n)).Draw(t, "pick") }
		deliver := func(i int) {
			nodes[i].Merge(now, mail[i])
			mail[i] = nil
		}
		send := func(from, to int) {
			mail[to] = append(mail[to], nodes[from].GossipUpdates(now, 400)...)
		}
		for n := range uint32(60) {
			now = now.Add(time.Duration(pick(1000)) * time.Millisecond)
			i := pick(5)
			switch pick(6) {
			case 0:
				nodes[i].RecordCrash(now, mustardmast.NodeID(i+1), n, []quarantine.Fingerprint{bad, 5, 6}[:2+pick(2)])
			case 1:
				nodes[i].RecordCompletion(now, quarantine.Fingerprint(5+pick(2)))
			case 2:
				send(i, pick(5))
			default: // whatever is on its way, for however long
				deliver(i)
			}
			for _, q := range nodes {
				for _, it := range q.List(now) {
					assert.Assert(t, it.State != quarantine.Quarantined)
				}
			}
		}
		nodes[pick(5)].Clear(now, bad)
		for range 5 {
			for i := range 25 {
				mail[i%5] = append(mail[i%5], nodes[i/5].UpdatesFor(now, []quarantine.Fingerprint{bad})...)
			}
			now = now.Add(200 * time.Millisecond)
			for i := range nodes {
				deliver(i)
			}
		}
		for i, q := range nodes {
			assert.Equal(t, q.State(now, bad), quarantine.Clear, "node %d", i)
		}
	})
}

// Guards against growth past the bounds, and against conviction that a flood of evidence pushes out.
func TestFullTableKeepsTheConvicted(t *testing.T) {
	q := quarantine.New(1)
	q.RecordCrash(start, 2, 1, []quarantine.Fingerprint{bad})
	q.RecordCrash(start, 2, 2, []quarantine.Fingerprint{bad})
	_, err := q.Admit(start, bad, members(1))
	assert.NilError(t, err)
	q.RecordCrash(start, 1, 1, []quarantine.Fingerprint{bad})
	q.ReleaseTarget(bad)
	for f := range quarantine.Fingerprint(3_000) {
		q.RecordCrash(start, 1, 2+uint32(f), []quarantine.Fingerprint{1000 + f})
	}
	assert.Equal(t, len(q.List(start)), 1024)
	assert.Equal(t, q.List(start)[0].Fingerprint, bad)
	for range 20 {
		size := 0
		for _, n := range q.GossipUpdates(start, 1000) {
			size += n.Size()
		}
		assert.Assert(t, size > 0 && size <= 1000)
	}
}

func ExampleQuarantine() {
	here, there := quarantine.New(1), quarantine.New(2)
	f := quarantine.FingerprintOf("gallery", "resize", "quarry", 0xfeed)
	fmt.Println(here.State(start, f))

	here.RecordCrash(start, 1, 1, []quarantine.Fingerprint{f})
	there.RecordCrash(start, 2, 1, []quarantine.Fingerprint{f})
	here.Merge(start, there.GossipUpdates(start, 1000))
	fmt.Println(here.State(start, f))

	alone, _ := here.Admit(start, f, members(1))
	here.RecordCrash(start, 1, 2, []quarantine.Fingerprint{f})
	here.ReleaseTarget(f)
	fmt.Println(alone, here.State(start, f))
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
