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

// fleetOptions selects how the simulated fleet uses the package.
type fleetOptions struct {
	notifyOnCrash bool // updates about a crash are sent before the responses to the lost calls
	gossip        bool // nodes gossip once per second
	duration      time.Duration
	countCrashes  bool // naive rule: three crashes quarantine all fingerprints in flight, and all nodes know at once
}

// outcome counts what happened in one simulation.
type outcome struct {
	crashed, crashes, falsePositives, harmless, completed, rejected int
}

// fleet simulates 20 targets and their nodes in virtual time. Callers keep resending requests that crash their target,
// among many harmless ones, some of which run for a long time and are in flight at several crashes.
type fleet struct {
	fleetOptions
	rnd     *rand.Rand
	now     time.Time
	end     time.Time
	queue   queue
	targets []*target
	serving []mustardmast.Member
	crashes map[quarantine.Fingerprint]int // for countCrashes
	outcome outcome
}

// firstCulprit is the lowest fingerprint of requests that crash their target.
const firstCulprit = 1_000_000

type target struct {
	q        *quarantine.Quarantine
	id       mustardmast.NodeID
	up       bool
	crashed  bool
	run      uint32
	inFlight []*job
	waiting  *job // suspect that waits for the target to become idle
}

type job struct {
	f        quarantine.Fingerprint
	duration time.Duration
	culprit  bool
	isolated bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type queue struct {
	l   []simEvent
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
func (q *queue) Push(x any)    { q.l = append(q.l, x.(simEvent)) }
func (q *queue) Pop() any {
	x := q.l[len(q.l)-1]
	q.l = q.l[:len(q.l)-1]
	return x
}

func (f *fleet) after(d time.Duration, do func()) {
	f.queue.seq++
	heap.Push(&f.queue, simEvent{at: f.now.Add(d), seq: f.queue.seq, do: do})
}

func (f *fleet) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rnd.Int64N(int64(b-a)))
}

// runFleet runs one simulation in which the culprits are resent until the end.
func runFleet(options fleetOptions, seed uint64, culprits int) outcome {
	f := &fleet{fleetOptions: options, rnd: rand.New(rand.NewPCG(seed, 2)), now: start, end: start.Add(options.duration),
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
	f.generateLoad()
	for f.queue.Len() > 0 {
		s := heap.Pop(&f.queue).(simEvent)
		f.now = s.at
		s.do()
	}
	for _, t := range f.targets {
		if t.crashed {
			f.outcome.crashed++
		}
		for _, it := range t.q.List(f.now) {
			if it.Fingerprint < firstCulprit && it.State == quarantine.Quarantined {
				f.outcome.falsePositives++
			}
		}
	}
	return f.outcome
}

// generateLoad submits harmless requests: 125 per second, half of them with one of a few contents, and one in 100 that
// runs for 10 s.
func (f *fleet) generateLoad() {
	if !f.now.Before(f.end) {
		return
	}
	j := &job{f: quarantine.Fingerprint(1 + f.rnd.IntN(1+f.rnd.IntN(30))),
		duration: f.randomDuration(100*time.Millisecond, time.Second)}
	if f.rnd.IntN(2) == 0 {
		j.f = quarantine.Fingerprint(100_000 + f.outcome.harmless)
	}
	if f.rnd.IntN(100) == 0 {
		j = &job{f: quarantine.Fingerprint(10_000 + f.outcome.harmless), duration: 10 * time.Second}
	}
	f.outcome.harmless++
	f.submit(j)
	f.after(f.randomDuration(0, 16*time.Millisecond), f.generateLoad)
}

// up returns the members whose target is running.
func (f *fleet) up() []mustardmast.Member {
	f.serving = f.serving[:0]
	for _, t := range f.targets {
		if t.up {
			f.serving = append(f.serving, mustardmast.Member{ID: t.id})
		}
	}
	return f.serving
}

// submit sends a request through a random node.
func (f *fleet) submit(j *job) {
	up := f.up()
	if len(up) == 0 {
		f.resend(j)
		return
	}
	entry := f.targets[f.rnd.IntN(len(f.targets))]
	to := up[f.rnd.IntN(len(up))]
	if !f.countCrashes {
		member, suspect, err := entry.q.Check(f.now, j.f, up)
		if err != nil {
			f.reject(j)
			return
		}
		if suspect {
			to = member
		}
	}
	for _, t := range f.targets {
		if t.id == to.ID {
			f.after(time.Millisecond, func() { f.execute(t, j) })
		}
	}
}

// reject handles a rejection as quarantined. Callers resend culprits nevertheless.
func (f *fleet) reject(j *job) {
	if j.culprit {
		f.resend(j)
		return
	}
	f.outcome.rejected++
	f.outcome.falsePositives++
}

// resend submits a request again: a harmless one until one minute after the end, a culprit until the end.
func (f *fleet) resend(j *job) {
	if f.now.Before(f.end) || !j.culprit && f.now.Before(f.end.Add(time.Minute)) {
		f.after(f.randomDuration(50*time.Millisecond, 150*time.Millisecond), func() { f.submit(j) })
	}
}

func (f *fleet) execute(t *target, j *job) {
	if !t.up {
		f.resend(j)
		return
	}
	if f.countCrashes {
		if f.crashes[j.f] >= 3 {
			f.reject(j)
			return
		}
		f.start(t, j)
		return
	}
	isolated, err := t.q.Admit(f.now, j.f, f.up())
	switch {
	case fault.KindOf(err) == fault.Quarantined:
		f.reject(j)
	case err != nil:
		f.resend(j)
	case isolated && len(t.inFlight) > 0:
		j.isolated, t.waiting = true, j
	default:
		j.isolated = isolated
		f.start(t, j)
	}
}

func (f *fleet) start(t *target, j *job) {
	t.inFlight = append(t.inFlight, j)
	run, duration := t.run, j.duration
	if j.culprit {
		duration = f.randomDuration(5*time.Millisecond, 100*time.Millisecond)
	}
	f.after(duration, func() {
		switch {
		case t.run != run: // the target has crashed in the meantime
		case j.culprit:
			f.crash(t)
		default:
			t.inFlight = slices.DeleteFunc(t.inFlight, func(o *job) bool { return o == j })
			f.outcome.completed++
			t.q.RecordCompletion(f.now, j.f)
			if j.isolated {
				t.q.ReleaseTarget(j.f)
			}
			if w := t.waiting; w != nil && len(t.inFlight) == 0 {
				t.waiting = nil
				f.start(t, w)
			}
		}
	})
}

// crash ends all requests in flight at a target and restarts it after 5 s.
func (f *fleet) crash(t *target) {
	f.outcome.crashes++
	t.up, t.crashed = false, true
	t.run++
	var fingerprints []quarantine.Fingerprint
	lost := t.inFlight
	for _, j := range lost {
		fingerprints = append(fingerprints, j.f)
	}
	if t.waiting != nil {
		t.q.ReleaseTarget(t.waiting.f)
		lost = append(lost, t.waiting)
	}
	for _, g := range fingerprints {
		f.crashes[g]++
	}
	t.q.RecordCrash(f.now, t.id, t.run, fingerprints)
	for _, j := range lost {
		if j.isolated {
			t.q.ReleaseTarget(j.f)
		}
		f.after(30*time.Millisecond, func() { f.resend(j) }) // the responses follow the updates
	}
	t.inFlight, t.waiting = nil, nil
	if f.notifyOnCrash {
		f.sendUpdates(t, t.q.UpdatesFor(f.now, fingerprints), len(f.targets), 0)
	}
	f.after(5*time.Second, func() { t.up = true })
}

// sendUpdates sends updates to some other nodes; a message takes up to 25 ms.
func (f *fleet) sendUpdates(from *target, updates []quarantine.Update, peers, lossPercent int) {
	for _, i := range f.rnd.Perm(len(f.targets))[:peers] {
		if to := f.targets[i]; to != from && f.rnd.IntN(100) >= lossPercent {
			f.after(f.randomDuration(time.Millisecond, 25*time.Millisecond), func() { to.q.Merge(f.now, updates) })
		}
	}
}

func (f *fleet) tick(t *target) {
	t.q.Tick(f.now)
	if f.gossip {
		f.sendUpdates(t, t.q.GossipUpdates(f.now, 1000), 3, 10)
	}
	if f.now.Before(f.end) {
		f.after(time.Second, func() { f.tick(t) })
	}
}

// Guards against requests that keep crashing targets, against quarantining requests that were in flight by chance, and
// against suspects that never get to run. The variants without one mechanism show what it is needed for.
func TestCrashingRequestsInFleet(t *testing.T) {
	for name, c := range map[string]struct {
		fleetOptions
		culprits int
		ok       func(o outcome) bool
	}{
		"as designed": {fleetOptions{notifyOnCrash: true, gossip: true, duration: 2 * time.Minute}, 1, func(o outcome) bool {
			return o.crashes <= 4 && o.falsePositives == 0
		}},
		"gossip only": {fleetOptions{gossip: true, duration: time.Minute}, 1, func(o outcome) bool {
			return o.crashes > 4 && o.falsePositives == 0
		}},
		"no exchange": {fleetOptions{duration: time.Minute}, 1, func(o outcome) bool {
			return o.crashed == 20 && o.falsePositives == 0
		}},
		"several as designed": {fleetOptions{notifyOnCrash: true, gossip: true, duration: 2 * time.Minute}, 5, func(o outcome) bool {
			return o.crashes <= 4*5 && o.falsePositives == 0 && o.completed == o.harmless
		}},
		"several, quarantined by crash count": {fleetOptions{countCrashes: true, duration: time.Minute}, 5, func(o outcome) bool {
			return o.crashes <= 4*5 && o.falsePositives > 0
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := uint64(1)
			end := time.Now()
			if c.notifyOnCrash && soak.Duration() > 0 { // one seed is enough to show what a variant breaks
				first, end = uint64(end.UnixNano()), end.Add(soak.Duration()/2)
			}
			for seed := first; seed == first || time.Now().Before(end); seed++ {
				o := runFleet(c.fleetOptions, seed, c.culprits)
				t.Logf("seed %d: %+v", seed, o)
				assert.Assert(t, c.ok(o), "seed %d: %+v", seed, o)
			}
		})
	}
}
