package quarantine_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/internal/soak"
)

// rules says how the fleet uses the package.
type rules struct {
	eager  bool // the news of a crash is sent before the lost calls are answered
	gossip bool // nodes exchange digests each second
	lasts  time.Duration
	count  bool // naive: three crashes convict, whoever was in flight; all nodes know at once
}

type outcome struct {
	died, crashes, convicted, innocents, completed, refused int
}

// fleet is 20 targets and their nodes under virtual time. Callers resend a request that crashes its target, among
// many innocent ones, some of which run for long and are in flight at several crashes.
type fleet struct {
	rules
	rnd     *rand.Rand
	now     time.Time
	end     time.Time
	queue   queue
	targets []*target
	ready   []mustardmast.Member
	crashes map[quarantine.Fingerprint]int // naive
	outcome outcome
}

// firstCulprit is the fingerprint from which on all are of requests that crash their target.
const firstCulprit = 1_000_000

type target struct {
	q       *quarantine.Quarantine
	id      mustardmast.NodeID
	up      bool
	died    bool
	run     uint32
	flight  []*job
	waiting *job // suspect that waits until the target is idle
}

type job struct {
	f       quarantine.Fingerprint
	takes   time.Duration
	culprit bool
	alone   bool
}

type step struct {
	at  time.Time
	seq int
	do  func()
}

type queue struct {
	l   []step
	seq int
}

func (q *queue) Len() int { return len(q.l) }
func (q *queue) Less(i, j int) bool {
	if q.l[i].at.Equal(q.l[j].at) {
		return q.l[i].seq < q.l[j].seq
	}
	return q.l[i].at.Before(q.l[j].at)
}
func (q *queue) Swap(i, j int) { q.l[i], q.l[j] = q.l[j], q.l[i] }
func (q *queue) Push(x any)    { q.l = append(q.l, x.(step)) }
func (q *queue) Pop() any {
	x := q.l[len(q.l)-1]
	q.l = q.l[:len(q.l)-1]
	return x
}

func (f *fleet) after(d time.Duration, do func()) {
	f.queue.seq++
	heap.Push(&f.queue, step{at: f.now.Add(d), seq: f.queue.seq, do: do})
}

func (f *fleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rnd.Int64N(int64(b-a)))
}

// fleetRun lets culprits be resent for minutes.
func fleetRun(r rules, seed uint64, culprits int) outcome {
	f := &fleet{rules: r, rnd: rand.New(rand.NewPCG(seed, 2)), now: start, end: start.Add(r.lasts),
		crashes: map[quarantine.Fingerprint]int{}}
	for i := range 20 {
		id := mustardmast.NodeID(f.rnd.Uint64())
		f.targets = append(f.targets, &target{q: quarantine.New(id), id: id, up: true})
		f.after(time.Duration(i)*time.Millisecond, func() { f.tick(f.targets[i]) })
	}
	for i := range culprits {
		c := &job{f: quarantine.Fingerprint(firstCulprit + i), culprit: true}
		f.after(time.Duration(i)*7*time.Second, func() { f.submit(c) })
	}
	f.arrive()
	for f.queue.Len() > 0 {
		s := heap.Pop(&f.queue).(step)
		f.now = s.at
		s.do()
	}
	for _, t := range f.targets {
		if t.died {
			f.outcome.died++
		}
		for _, it := range t.q.List(f.now) {
			if it.Fingerprint < firstCulprit && it.State == quarantine.Quarantined {
				f.outcome.convicted++
			}
		}
	}
	return f.outcome
}

// arrive is the stream of innocent requests: 125 a second, half of them with one of a few
// contents, and one in 100 that runs 10 s.
func (f *fleet) arrive() {
	if !f.now.Before(f.end) {
		return
	}
	j := &job{f: quarantine.Fingerprint(1 + f.rnd.IntN(1+f.rnd.IntN(30))), takes: f.between(100*time.Millisecond, time.Second)}
	if f.rnd.IntN(2) == 0 {
		j.f = quarantine.Fingerprint(100_000 + f.outcome.innocents)
	}
	if f.rnd.IntN(100) == 0 {
		j = &job{f: quarantine.Fingerprint(10_000 + f.outcome.innocents), takes: 10 * time.Second}
	}
	f.outcome.innocents++
	f.submit(j)
	f.after(f.between(0, 16*time.Millisecond), f.arrive)
}

func (f *fleet) up() []mustardmast.Member {
	f.ready = f.ready[:0]
	for _, t := range f.targets {
		if t.up {
			f.ready = append(f.ready, mustardmast.Member{ID: t.id})
		}
	}
	return f.ready
}

// submit is a send through any node.
func (f *fleet) submit(j *job) {
	up := f.up()
	if len(up) == 0 {
		f.again(j)
		return
	}
	entry := f.targets[f.rnd.IntN(len(f.targets))]
	to := up[f.rnd.IntN(len(up))]
	if !f.count {
		home, suspect, err := entry.q.Check(f.now, j.f, up)
		if err != nil {
			f.refuse(j)
			return
		}
		if suspect {
			to = home
		}
	}
	for _, t := range f.targets {
		if t.id == to.ID {
			f.after(time.Millisecond, func() { f.execute(t, j) })
		}
	}
}

func (f *fleet) refuse(j *job) {
	if j.culprit {
		f.again(j)
		return
	}
	f.outcome.refused++
	f.outcome.convicted++
}

// again resends: an innocent at most until the end is well past, a culprit until the end.
func (f *fleet) again(j *job) {
	if f.now.Before(f.end) || !j.culprit && f.now.Before(f.end.Add(time.Minute)) {
		f.after(f.between(50*time.Millisecond, 150*time.Millisecond), func() { f.submit(j) })
	}
}

func (f *fleet) execute(t *target, j *job) {
	if !t.up {
		f.again(j)
		return
	}
	if f.count {
		if f.crashes[j.f] >= 3 {
			f.refuse(j)
			return
		}
		f.start(t, j)
		return
	}
	alone, err := t.q.Admit(f.now, j.f, f.up())
	switch {
	case fault.KindOf(err) == fault.Quarantined:
		f.refuse(j)
	case err != nil:
		f.again(j)
	case alone && len(t.flight) > 0:
		j.alone, t.waiting = true, j
	default:
		j.alone = alone
		f.start(t, j)
	}
}

func (f *fleet) start(t *target, j *job) {
	t.flight = append(t.flight, j)
	run, takes := t.run, j.takes
	if j.culprit {
		takes = f.between(5*time.Millisecond, 100*time.Millisecond)
	}
	f.after(takes, func() {
		switch {
		case t.run != run: // the target crashed meanwhile
		case j.culprit:
			f.crash(t)
		default:
			t.flight = slices.DeleteFunc(t.flight, func(o *job) bool { return o == j })
			f.outcome.completed++
			t.q.RecordCompletion(f.now, j.f)
			if j.alone {
				t.q.ReleaseTarget(j.f)
			}
			if w := t.waiting; w != nil && len(t.flight) == 0 {
				t.waiting = nil
				f.start(t, w)
			}
		}
	})
}

func (f *fleet) crash(t *target) {
	f.outcome.crashes++
	t.up, t.died = false, true
	t.run++
	var fs []quarantine.Fingerprint
	lost := t.flight
	for _, j := range lost {
		fs = append(fs, j.f)
	}
	if t.waiting != nil {
		t.q.ReleaseTarget(t.waiting.f)
		lost = append(lost, t.waiting)
	}
	for _, g := range fs {
		f.crashes[g]++
	}
	t.q.RecordCrash(f.now, t.id, t.run, fs)
	for _, j := range lost {
		if j.alone {
			t.q.ReleaseTarget(j.f)
		}
		f.after(30*time.Millisecond, func() { f.again(j) }) // answered after the news was sent
	}
	t.flight, t.waiting = nil, nil
	if f.eager {
		f.tell(t, t.q.UpdatesFor(f.now, fs), len(f.targets), 0)
	}
	f.after(5*time.Second, func() { t.up = true })
}

// tell sends news to some other nodes; a message takes up to 25 ms.
func (f *fleet) tell(from *target, news []quarantine.Update, peers, lossPercent int) {
	for _, i := range f.rnd.Perm(len(f.targets))[:peers] {
		if to := f.targets[i]; to != from && f.rnd.IntN(100) >= lossPercent {
			f.after(f.between(time.Millisecond, 25*time.Millisecond), func() { to.q.Merge(f.now, news) })
		}
	}
}

func (f *fleet) tick(t *target) {
	t.q.Tick(f.now)
	if f.gossip {
		f.tell(t, t.q.GossipUpdates(f.now, 1000), 3, 10)
	}
	if f.now.Before(f.end) {
		f.after(time.Second, func() { f.tick(t) })
	}
}

// Guards against requests that go on crashing targets, against the conviction of requests that were in flight by
// chance, and against suspects that never get to run. The variants show what each part is for.
func TestCrashingRequestsAmongMany(t *testing.T) {
	for name, c := range map[string]struct {
		rules
		culprits int
		ok       func(o outcome) bool
	}{
		"as designed": {rules{eager: true, gossip: true, lasts: 2 * time.Minute}, 1, func(o outcome) bool { return o.crashes <= 4 && o.convicted == 0 }},
		"gossip only": {rules{gossip: true, lasts: time.Minute}, 1, func(o outcome) bool { return o.crashes > 4 && o.convicted == 0 }},
		"no exchange": {rules{lasts: time.Minute}, 1, func(o outcome) bool { return o.died == 20 && o.convicted == 0 }},
		"several as designed": {rules{eager: true, gossip: true, lasts: 2 * time.Minute}, 5, func(o outcome) bool {
			return o.crashes <= 4*5 && o.convicted == 0 && o.completed == o.innocents
		}},
		"several convicted by count": {rules{count: true, lasts: time.Minute}, 5, func(o outcome) bool { return o.crashes <= 4*5 && o.convicted > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := uint64(1)
			end := time.Now()
			if c.eager && soak.Duration() > 0 { // what a variant breaks is shown with one seed
				first, end = uint64(end.UnixNano()), end.Add(soak.Duration()/2)
			}
			for seed := first; seed == first || time.Now().Before(end); seed++ {
				o := fleetRun(c.rules, seed, c.culprits)
				t.Logf("seed %d: %+v", seed, o)
				assert.Assert(t, c.ok(o), "seed %d: %+v", seed, o)
			}
		})
	}
}
