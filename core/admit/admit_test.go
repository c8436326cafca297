package admit_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/admit"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
)

var epoch = time.Unix(1000, 0)

var backers = []config.Backer{{Name: "a", SharePercent: 70}, {Name: "b", SharePercent: 30}}

func work(ticket uint64, p call.Priority, backer string, deadline time.Duration) mustardmast.Work {
	c := call.New(call.Spec{ID: fmt.Sprint(ticket), Method: "m", Priority: p, Backer: backer})
	return mustardmast.Work{Ticket: ticket, Call: c, Deadline: epoch.Add(deadline)}
}

// Guards against lost slots, more running calls than the limit allows, and tickets with no final verdict or more than
// one.
func TestEveryTicketGetsOneFinalVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		a := admit.New(admit.Spec{Slots: slots, Backers: backers, QueueLength: rapid.IntRange(1, 6).Draw(t, "queue")})
		m := machine{t: t, a: a, slots: slots, now: epoch, waiting: map[uint64]bool{}, running: map[uint64]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"done":   m.done,
			"cancel": m.cancel,
			"tick":   m.tick,
			"config": m.config,
			"":       m.check,
		})
		m.drain()
	})
}

type machine struct {
	t                *rapid.T
	a                *admit.Admitter
	slots            int
	now              time.Time
	next             uint64
	waiting, running map[uint64]bool
}

func (m *machine) offer(t *rapid.T) {
	m.next++
	p := call.Priority(rapid.IntRange(0, 3).Draw(t, "priority"))
	b := rapid.SampledFrom([]string{"a", "b", "invented"}).Draw(t, "backer")
	w := work(m.next, p, b, m.now.Sub(epoch)+time.Duration(rapid.IntRange(-5, 200).Draw(t, "deadline"))*time.Millisecond)
	w.Long = rapid.Bool().Draw(t, "long")
	w.Withheld = uint32(rapid.IntRange(0, 50).Draw(t, "withheld"))
	switch v := m.a.Offer(m.now, w); v.Action {
	case mustardmast.Run:
		m.running[m.next] = true
	case mustardmast.Wait:
		m.waiting[m.next] = true
	default:
		assert.Equal(t, v.Kind.Properties().Outcome, fault.NotExecuted)
	}
}

func (m *machine) apply(vs []mustardmast.Verdict) {
	for _, v := range vs {
		assert.Assert(m.t, m.waiting[v.Ticket], "verdict %v for ticket %d, which is not waiting", v.Action, v.Ticket)
		assert.Assert(m.t, v.Action != mustardmast.Wait)
		delete(m.waiting, v.Ticket)
		if v.Action == mustardmast.Run {
			m.running[v.Ticket] = true
		}
	}
}

func (m *machine) done(t *rapid.T) {
	for id := range m.running {
		delete(m.running, id)
		d := time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond
		m.apply(m.a.Done(m.now, mustardmast.Completion{Ticket: id, Latency: d}))
		assert.Assert(t, len(m.a.Done(m.now, mustardmast.Completion{Ticket: id})) == 0, "Done released the slot of a ticket twice")
		return
	}
}

func (m *machine) cancel(*rapid.T) {
	for id := range m.waiting {
		m.a.Cancel(m.now, id)
		delete(m.waiting, id)
		return
	}
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	m.apply(m.a.Tick(m.now))
}

func (m *machine) config(t *rapid.T) {
	m.a.SetBackers(m.now, backers[:rapid.IntRange(0, 2).Draw(t, "backers")])
}

func (m *machine) check(t *rapid.T) {
	l := m.a.Load(m.now)
	assert.Equal(t, int(l.InFlight), len(m.running))
	assert.Assert(t, int(l.Limit) >= 1 && int(l.Limit) <= m.slots)
	assert.Assert(t, len(m.running) <= m.slots)
	for p := call.Critical; p < call.Low; p++ {
		for _, b := range []string{"a", "b", "invented"} {
			assert.Assert(t, m.a.LevelFor(m.now, p, b) >= m.a.LevelFor(m.now, p+1, b), "a lower priority has a higher level")
		}
	}
}

func (m *machine) drain() {
	m.now = m.now.Add(time.Minute)
	m.apply(m.a.Tick(m.now))
	assert.Equal(m.t, len(m.waiting), 0)
	for id := range m.running {
		m.a.Done(m.now, mustardmast.Completion{Ticket: id})
	}
	assert.Equal(m.t, m.a.Load(m.now).InFlight, uint32(0))
}

// Guards against data races and lost slots with concurrent use of the Admitter.
func TestConcurrentUse(t *testing.T) {
	a := admit.New(admit.Spec{Slots: 4, Backers: backers})
	var waiting sync.Map // by ticket, the channel of its verdict
	deliver := func(vs []mustardmast.Verdict) {
		for _, v := range vs {
			if c, ok := waiting.LoadAndDelete(v.Ticket); ok {
				c.(chan mustardmast.Verdict) <- v
			}
		}
	}
	var wg sync.WaitGroup
	for g := range uint64(8) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range uint64(300) {
				id, c := g*1000+i, make(chan mustardmast.Verdict, 1)
				waiting.Store(id, c)
				v := a.Offer(epoch, work(id, call.Priority(i%4), "a", time.Hour))
				for v.Action == mustardmast.Wait {
					deliver(a.Tick(epoch))
					select {
					case v = <-c:
					default:
						runtime.Gosched()
					}
				}
				if v.Action == mustardmast.Run {
					deliver(a.Done(epoch, mustardmast.Completion{Ticket: id, Latency: time.Millisecond}))
				}
			}
		}()
	}
	wg.Wait()
	l := a.Load(epoch)
	assert.Equal(t, l.InFlight+l.Queued, uint32(0))
}

// Guards against an unused share that its backer does not get back within a second: backer b starts to use its share,
// half of the capacity, while backer a requests three times the capacity. One second later, nearly all calls of b must
// run.
func TestShareIsReclaimed(t *testing.T) {
	a := admit.New(admit.Spec{Slots: 10, Backers: []config.Backer{{Name: "a", SharePercent: 50}, {Name: "b", SharePercent: 50}}})
	const hold, bStarts, end = 100, 5000, 8000 // ms
	ends, backer := map[int][]uint64{}, map[uint64]string{}
	offered, ran := 0.0, 0.0
	for ms := range end {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		apply := func(vs ...mustardmast.Verdict) {
			for _, v := range vs {
				if v.Action != mustardmast.Run {
					continue
				}
				ends[ms+hold] = append(ends[ms+hold], v.Ticket)
				if backer[v.Ticket] == "b" && ms >= bStarts+1000 {
					ran++
				}
			}
		}
		for _, id := range ends[ms] {
			apply(a.Done(now, mustardmast.Completion{Ticket: id, Latency: hold * time.Millisecond})...)
		}
		if ms%10 == 0 {
			apply(a.Tick(now)...)
		}
		offer := func(b string) {
			id := uint64(len(backer) + 1)
			backer[id] = b
			apply(a.Offer(now, work(id, call.Normal, b, time.Hour)))
		}
		if ms%10 < 3 { // 300 per second
			offer("a")
		}
		if ms >= bStarts && ms%21 == 0 { // 48 per second
			if offer("b"); ms >= bStarts+1000 {
				offered++
			}
		}
	}
	assert.Assert(t, ran >= 0.97*offered, "%v of %v calls of b ran", ran, offered)
}

func ExampleAdmitter() {
	a := admit.New(admit.Spec{Slots: 1, Backers: backers})
	fmt.Println(a.Offer(epoch, work(1, call.Normal, "a", time.Second)).Action == mustardmast.Run)
	fmt.Println(a.Offer(epoch, work(2, call.Normal, "a", time.Second)).Action == mustardmast.Wait)
	fmt.Println(a.Offer(epoch, work(3, call.Critical, "b", time.Second)).Action == mustardmast.Wait)
	vs := a.Done(epoch.Add(time.Millisecond), mustardmast.Completion{Ticket: 1, Latency: time.Millisecond})
	fmt.Println(vs[0].Ticket, vs[0].Action == mustardmast.Run)
	// Output:
	// true
	// true
	// true
	// 3 true
}

func BenchmarkOfferDone(b *testing.B) {
	a := admit.New(admit.Spec{Slots: 100, Backers: backers})
	w := work(1, call.High, "a", time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		w.Ticket++
		a.Offer(epoch, w)
		a.Done(epoch, mustardmast.Completion{Ticket: w.Ticket, Latency: time.Millisecond})
	}
}

func BenchmarkOfferDoneWithQueue(b *testing.B) {
	a := admit.New(admit.Spec{Slots: 100, Backers: backers})
	w := work(1, call.High, "a", time.Hour)
	for range 150 {
		w.Ticket++
		a.Offer(epoch, w)
	}
	next := uint64(2)
	b.ReportAllocs()
	for b.Loop() {
		w.Ticket++
		a.Offer(epoch, w)
		for _, v := range a.Done(epoch, mustardmast.Completion{Ticket: next, Latency: time.Millisecond}) {
			_ = v
		}
		next++
	}
}
