package balance_test

import (
	"testing"
	"time"

	"mustardmast"
	"mustardmast/core/balance"
)

// BenchmarkPickDone measures one Pick, HedgeAfter and Done on a service with 200 members, of which 16 are in the
// subset.
func BenchmarkPickDone(b *testing.B) {
	p := balance.New(balance.Self{ID: 9, FailureDomain: "a"}, 1, balance.Defaults())
	l := members(200, "a", "b", "c")
	c := short(true)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		m, _ := p.Pick(now, c, l, nil)
		_, reserved := p.HedgeAfter(now, c)
		now = now.Add(100 * time.Microsecond)
		p.Done(now, mustardmast.Result{Member: m.ID, Service: "socket-board", Latency: 100 * time.Microsecond,
			Load: mustardmast.Load{InFlight: 5, Limit: 100}, HasLoad: true, HedgeUnused: reserved})
	}
}

// BenchmarkRebuild measures a Pick after the list of 200 members has changed.
func BenchmarkRebuild(b *testing.B) {
	p := balance.New(balance.Self{ID: 9, FailureDomain: "a"}, 1, balance.Defaults())
	lists := [2][]mustardmast.Member{members(200, "a", "b", "c"), members(201, "a", "b", "c")}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m, _ := p.Pick(start, short(true), lists[i%2], nil)
		p.Done(start, mustardmast.Result{Member: m.ID, Service: "socket-board"})
	}
}
