package balance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/balance"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

var start = time.Unix(1000, 0)

func members(n int, domains ...string) []mustardmast.Member {
	l := make([]mustardmast.Member, n)
	for i := range l {
		l[i] = mustardmast.Member{
			ID: mustardmast.NodeID(i + 1), FailureDomain: domains[i%len(domains)], Service: "socket-board", Slots: uint32(*simSlots),
			State: mustardmast.Ready,
		}
	}
	return l
}

func short(idempotent bool) call.Call {
	return call.New(call.Spec{Service: "socket-board", Method: "assign", Idempotent: idempotent})
}

func ExampleBalancer() {
	b := balance.New(balance.Self{ID: 9, FailureDomain: "koper-a"}, 1, balance.Defaults())
	now := time.Unix(0, 0)
	m, _ := b.Pick(now, short(true), members(6, "koper-a", "koper-b"), nil)
	fmt.Println(m.FailureDomain)
	b.Done(now.Add(time.Millisecond), mustardmast.Result{
		Member: m.ID, Service: "socket-board", Latency: time.Millisecond, Kind: fault.None,
	})
	// Output: koper-a
}

// Guards against a hedged send or a retry going to a member that already has the call.
func TestPickSkipsTriedMembers(t *testing.T) {
	b := balance.New(balance.Self{ID: 9, FailureDomain: "a"}, 1, balance.Defaults())
	l := members(4, "a", "b")
	var tried []mustardmast.NodeID
	for range l {
		m, ok := b.Pick(start, short(true), l, tried)
		assert.Assert(t, ok)
		for _, id := range tried {
			assert.Assert(t, id != m.ID)
		}
		tried = append(tried, m.ID)
	}
	_, ok := b.Pick(start, short(true), l, tried)
	assert.Assert(t, !ok)
}

// Guards against running a non-idempotent call on the caller's own host: if that host fails, the record of the call is
// lost together with the execution.
func TestNonIdempotentCallsGoToOtherHosts(t *testing.T) {
	b := balance.New(balance.Self{ID: 1, FailureDomain: "a"}, 1, balance.Defaults())
	l := members(6, "a", "a", "b")
	for range 100 {
		m, ok := b.Pick(start, short(false), l, nil)
		assert.Assert(t, ok && m.ID != 1 && m.FailureDomain == "a")
		b.Done(start, mustardmast.Result{Member: m.ID, Service: "socket-board", Latency: time.Millisecond})
	}
}
