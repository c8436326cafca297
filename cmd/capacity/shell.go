package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/control"
	"mustardmast/io/eventlog"
)

// wallClock implements mustardmast.Timers with the wall clock.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) Every(period time.Duration, f func(time.Time)) func() {
	t, done := time.NewTicker(period), make(chan struct{})
	go func() {
		for {
			select {
			case now := <-t.C:
				f(now)
			case <-done:
				return
			}
		}
	}()
	return func() { t.Stop(); close(done) }
}

func (wallClock) After(d time.Duration, f func(time.Time)) func() {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}

// unavailablePlatform is a platform that is down.
type unavailablePlatform struct{}

func (unavailablePlatform) Get(context.Context, string) (mustardmast.Object, error) {
	return mustardmast.Object{}, fault.New(fault.PlatformUnavailable, "none")
}

func (unavailablePlatform) Put(context.Context, mustardmast.Object) (mustardmast.Object, error) {
	return mustardmast.Object{}, fault.New(fault.PlatformUnavailable, "none")
}

func (unavailablePlatform) Watch(context.Context, string, uint64) (mustardmast.Object, error) {
	return mustardmast.Object{}, fault.New(fault.PlatformUnavailable, "none")
}

// idleControlPlanes measures real, idle control planes over loopback sockets: the traffic and the CPU time including
// codecs, sockets, timers and the garbage collector.
func idleControlPlanes(o options) []budgetResult {
	const nodes, settle, measured = 50, 40 * time.Second, 20 * time.Second
	var all []*control.Control
	var seeds []netip.AddrPort
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println("  cannot listen:", err)
			return nil
		}
		self := memberOf(i)
		self.ID = mustardmast.NodeID(rand.Uint64() | 1)
		self.Address = netip.MustParseAddrPort(l.Addr().String())
		c, err := control.New(control.Settings{
			Self: self, Seeds: seeds, Platform: unavailablePlatform{}, Timers: wallClock{},
			Decode:  func([]byte) (uint64, string, []byte, error) { return 0, "", nil, nil },
			Install: func(uint64, string, []byte) error { return nil },
			Rand:    rand.New(rand.NewPCG(o.seed, uint64(i))), Log: eventlog.New(zap.NewNop()),
		})
		if err != nil {
			fmt.Println("  cannot create a control plane:", err)
			return nil
		}
		if len(seeds) == 0 {
			seeds = []netip.AddrPort{self.Address}
		}
		mux := http.NewServeMux()
		mux.Handle(c.Handler())
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		srv := &http.Server{Handler: mux, Protocols: protocols}
		go func() { _ = srv.Serve(l) }()
		c.Start()
		defer func() { c.Close(); _ = srv.Close() }()
		all = append(all, c)
	}
	time.Sleep(settle)
	totals := func() (b uint64, busy time.Duration) {
		for _, c := range all {
			b += c.Meter().Sent() + c.Meter().Received()
			busy += c.Meter().Busy()
		}
		return b, busy
	}
	cpu := cpuTime()
	b, busy := totals()
	time.Sleep(measured)
	b2, busy2 := totals()
	cpu = cpuTime() - cpu
	cpuPercent := 100 * cpu.Seconds() / measured.Seconds() / nodes
	fmt.Printf("%d control planes, idle: %.3f%% of a core each (busy time %.3f%%), %.0f B/s, %d members known\n", nodes, cpuPercent,
		100*(busy2-busy).Seconds()/measured.Seconds()/nodes, float64(b2-b)/measured.Seconds()/nodes, all[0].Members().Len())
	return []budgetResult{{"core of an idle control plane with sockets and codecs (50 nodes)", 1.2, cpuPercent, "%"}}
}
