package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(host, domain string) roster.Record {
	return roster.Record{Host: host, Address: host + ":1", FailureDomain: domain, Service: "watch", Started: 1, Ready: true}
}

func report(running int, duration time.Duration) mustardmast.TargetReport {
	return mustardmast.TargetReport{Ready: true, Service: "watch", Limit: 30, Running: running, Duration: duration}
}

func newRoster(hosts ...roster.Record) *roster.Roster {
	r := roster.New(roster.Record{Host: "self", FailureDomain: "a", Service: "board", Started: 1, Ready: true}, 1)
	for _, h := range hosts {
		r.Merge(h, true)
	}
	return r
}

// countChoices counts the requests that each host gets while no load reports arrive.
func countChoices(r *roster.Roster, now time.Time, n int) map[string]int {
	count := map[string]int{}
	for range n {
		if h, ok := r.Choose(now, roster.Criteria{Service: "watch"}); ok {
			count[h.Host]++
		}
	}
	return count
}

// Guards against a target that is full, slow, failing, silent or down and gets as many requests as one that is not.
func TestChoose(t *testing.T) {
	for name, degrade := range map[string]func(r *roster.Roster){
		"full":    func(r *roster.Roster) { r.RecordReply(start, "x", report(30, 30*time.Millisecond), true, false) },
		"slow":    func(r *roster.Roster) { r.RecordReply(start, "x", report(0, 90*time.Millisecond), true, false) },
		"failing": func(r *roster.Roster) { reportFailures(r, "x", 20) },
		"silent":  func(r *roster.Roster) { r.RecordSent(start.Add(-time.Second), "x") },
		"down":    func(r *roster.Roster) { r.MarkDown(start, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoster(record("x", "a"), record("y", "a"))
			r.RecordReply(start, "x", report(0, 30*time.Millisecond), true, false)
			r.RecordReply(start, "y", report(0, 30*time.Millisecond), true, false)
			degrade(r)
			got := countChoices(r, start, 1000)
			assert.Assert(t, got["x"] < 60, "%v", got)
		})
	}
}

func reportFailures(r *roster.Roster, host string, times int) {
	for range times {
		r.RecordReply(start, host, report(0, time.Millisecond), true, true)
	}
}

// Guards against a target that fails fast, is taken for a fast one and attracts all requests.
func TestFastFailingTargetGetsFewRequests(t *testing.T) {
	r := newRoster(record("x", "a"), record("y", "a"))
	r.RecordReply(start, "y", report(20, 30*time.Millisecond), true, false)
	reportFailures(r, "x", 60)
	got := countChoices(r, start, 1000)
	assert.Assert(t, got["x"] < 100, "%v", got)
}

// Guards against traffic between failure domains while the local one has capacity, and against none when it has not.
func TestLocalDomainIsPreferred(t *testing.T) {
	r := newRoster(record("x", "a"), record("y", "b"))
	r.RecordReply(start, "x", report(3, 30*time.Millisecond), true, false)
	r.RecordReply(start, "y", report(3, 30*time.Millisecond), true, false)
	got := countChoices(r, start, 1000)
	assert.Assert(t, got["y"] < 60, "%v", got)
	r.RecordReply(start, "x", report(30, 30*time.Millisecond), true, false)
	got = countChoices(r, start, 1000)
	assert.Assert(t, got["x"] < 60, "%v", got)
}

// Guards against a target that joins and never gets a request because its duration is unknown.
func TestNewTargetGetsRequests(t *testing.T) {
	r := newRoster(record("x", "a"), record("y", "a"), record("new", "b"))
	r.RecordReply(start, "x", report(10, 30*time.Millisecond), true, false)
	r.RecordReply(start, "y", report(10, 30*time.Millisecond), true, false)
	got := countChoices(r, start, 1000)
	assert.Assert(t, got["new"] > 5, "%v", got)
}

// Guards against a host that is never retried, and against one that is retried all the time.
func TestDownHostIsRetried(t *testing.T) {
	r := newRoster(record("x", "a"))
	assert.Assert(t, r.MarkDown(start, "x"))
	assert.Equal(t, len(r.DueForRetry(start)), 0)
	assert.Equal(t, len(r.DueForRetry(start.Add(time.Second))), 1)
	_, ok := r.Choose(start, roster.Criteria{Service: "watch"})
	assert.Assert(t, !ok)
	_, ok = r.Choose(start.Add(time.Second), roster.Criteria{Service: "watch"})
	assert.Assert(t, ok, "last resort")
	_, ok = r.Choose(start.Add(time.Second), roster.Criteria{Service: "watch"})
	assert.Assert(t, !ok, "only one request retries the host")
	assert.Assert(t, r.MarkUp("x"))
	assert.Equal(t, len(r.DueForRetry(start.Add(time.Hour))), 0)
}

// Guards against messages of a host that arrive out of order. At its start a host announces itself, and reports that it
// is ready some milliseconds later. A node that received the two in the other order sent it no requests until the next
// random gossip exchange.
func TestReorderedMessagesOfHost(t *testing.T) {
	r := newRoster()
	first, second := record("x", "b"), record("x", "b")
	first.Ready, second.Sequence = false, 1
	assert.Assert(t, r.Merge(second, true))
	assert.Assert(t, !r.Merge(first, true))
	_, ok := r.Choose(start, roster.Criteria{Service: "watch"})
	assert.Assert(t, ok)

	restarted := record("x", "b") // its clock may have gone back meanwhile
	restarted.Started, restarted.Ready = 0, false
	assert.Assert(t, r.Merge(restarted, true))
	_, ok = r.Choose(start, roster.Criteria{Service: "watch"})
	assert.Assert(t, !ok)
}

// Guards against a stale record that replaces a newer one, and against a record that restores a removed host.
func TestMerge(t *testing.T) {
	r := newRoster(record("x", "a"))
	old := record("x", "a")
	old.Started, old.Service = 0, "board"
	assert.Assert(t, !r.Merge(old, false))
	newer := record("x", "a")
	newer.Sequence, newer.Ready = 1, false
	assert.Assert(t, r.Merge(newer, false))
	assert.Assert(t, !r.Merge(record("x", "a"), false))
	assert.Assert(t, r.Merge(old, true), "a direct update counts although the clock of the host has gone back")
	assert.Assert(t, r.Remove(roster.Removal{Host: "x"}))
	assert.Assert(t, !r.Merge(old, false))
	assert.Assert(t, r.Merge(record("x", "a"), false), "a later start is accepted")
	assert.Assert(t, !r.Merge(roster.Record{Host: "self", Service: "other", Started: 99}, false), "other nodes can't change the record of the node's own host")
}

// Guards against a host that has left and is in use again, because a late message of its own, or the record of a node that
// has missed its leaving, restores it.
func TestHostThatHasLeftStaysAway(t *testing.T) {
	known := record("x", "a")
	removal := roster.Removal{Host: "x", Started: known.Started}
	informed := newRoster(known)
	assert.Assert(t, informed.Remove(removal))
	assert.Assert(t, !informed.Merge(known, true), "a probe that the host sent before it left arrives late")
	assert.Assert(t, !informed.Merge(known, false), "a node that has missed the message still has the record")

	restarted := newRoster()
	assert.Assert(t, restarted.Merge(known, false), "a node that has just started gets the record from a node that missed the message")
	for _, r := range informed.Removals() {
		assert.Assert(t, restarted.Remove(r))
	}
	_, ok := restarted.Choose(start, roster.Criteria{Service: known.Service})
	assert.Assert(t, !ok)

	again := known
	again.Started++
	assert.Assert(t, informed.Merge(again, true), "the host has started again")
	assert.Assert(t, !informed.Remove(removal), "a late message about the earlier start")
	assert.Equal(t, informed.Size(), 2)
}

// Guards against removals that fill the memory of a node.
func TestRemovalsAreBounded(t *testing.T) {
	r := newRoster()
	for n := range 5000 {
		r.Remove(roster.Removal{Host: fmt.Sprint("h", n), Started: int64(n)})
	}
	removals := r.Removals()
	assert.Equal(t, len(removals), 1024)
	for _, x := range removals {
		assert.Assert(t, x.Started >= 5000-1024, "%v", x)
	}
}

// Guards against herding: senders that all choose the fastest target at once. 12 senders share 3 targets of unequal
// speed at 0.8 of their capacity, each with the load reports of its own replies only. The queue of a target must not
// grow beyond a part of its slots while other targets have free slots.
func TestSendersWithStaleReportsDoNotHerd(t *testing.T) {
	type target struct {
		duration time.Duration
		ends     []time.Time
	}
	targets := map[string]*target{"fast": {duration: 21 * time.Millisecond}, "usual": {duration: 30 * time.Millisecond}, "slow": {duration: 50 * time.Millisecond}}
	var senders []*roster.Roster
	for n := range 12 {
		r := roster.New(roster.Record{Host: fmt.Sprint("s", n), FailureDomain: "a", Service: "board", Ready: true}, uint64(n))
		for host := range targets {
			r.Merge(record(host, "a"), true)
		}
		senders = append(senders, r)
	}
	type reply struct {
		at     time.Time
		sender *roster.Roster
		host   string
	}
	busyAt := func(v *target, now time.Time) int {
		busy := v.ends[:0]
		for _, e := range v.ends {
			if e.After(now) {
				busy = append(busy, e)
			}
		}
		v.ends = busy
		return len(busy)
	}
	var replies []reply
	random := rand.New(rand.NewPCG(3, 3))
	capacity := 30.0/0.021 + 30.0/0.030 + 30.0/0.050
	longestQueue := 0
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(time.Millisecond) {
		pending := replies[:0]
		for _, v := range replies {
			if v.at.After(now) {
				pending = append(pending, v)
				continue
			}
			v.sender.RecordEnded(v.host)
			v.sender.RecordReply(now, v.host, report(busyAt(targets[v.host], now), targets[v.host].duration), true, false)
		}
		replies = pending
		for n := 0.8 * capacity / 1000; n > 0; n-- {
			if n < 1 && random.Float64() > n {
				break
			}
			s := senders[random.IntN(len(senders))]
			h, ok := s.Choose(now, roster.Criteria{Service: "watch"})
			assert.Assert(t, ok)
			v := targets[h.Host]
			begin := now
			if n := busyAt(v, now); n >= 30 {
				begin = v.ends[n-30]
			}
			v.ends = append(v.ends, begin.Add(v.duration))
			if now.After(start.Add(500 * time.Millisecond)) {
				longestQueue = max(longestQueue, len(v.ends)-30)
			}
			s.RecordSent(now, h.Host)
			replies = append(replies, reply{v.ends[len(v.ends)-1], s, h.Host})
		}
	}
	assert.Assert(t, longestQueue < 20, "longest queue %d", longestQueue)
}
