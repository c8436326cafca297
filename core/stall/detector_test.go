package stall_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/stall"
)

var start = time.Unix(1000, 0)

// TestMain fixes the seed of property tests so that CI runs are reproducible. Use -rapid.seed=N for other sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func conn(n uint64) stall.ConnID { return stall.ConnID{Peer: 7, Number: n} }

// Guards against a stalled connection that is detected late or never, against closing a working one, and against
// sending a non-idempotent call again that was already sent.
func TestOnlyStalledConnectionsDieWithinASecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := stall.New(stall.Defaults())
		broken := rapid.IntRange(0, 2).Draw(t, "broken")
		breaks := rapid.IntRange(0, 200).Draw(t, "breaks") * 10 // ms
		every := rapid.IntRange(1, 35).Draw(t, "every") * 10    // ms between bytes on a working connection
		notResendable := map[uint64]bool{}
		for n := range 3 {
			assert.Assert(t, d.Opened(start, conn(uint64(n))))
			for i := range 4 {
				id := uint64(n*10 + i)
				d.Queued(start, conn(uint64(n)), stall.Call{ID: id, Idempotent: i%2 == 0})
				if i < 2 {
					d.Sent(start, conn(uint64(n)), id)
				}
				notResendable[id] = i == 1 // sent and not idempotent
			}
		}
		died := -1
		for ms := 0; ms <= breaks+1500; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for n := range 3 {
				if ms%every == 0 && (n != broken || ms < breaks) {
					d.Received(now, conn(uint64(n)))
				}
			}
			if ms%100 != 0 {
				continue
			}
			for _, v := range d.Check(now) {
				assert.Equal(t, v.Conn, conn(uint64(broken)))
				if v.State == stall.Dead {
					died = ms
					assert.Equal(t, len(v.Resendable)+len(v.MaybeExecuted), 4)
				}
				for _, id := range v.Resendable {
					assert.Assert(t, !notResendable[id], "call %d was sent and is not idempotent", id)
				}
			}
		}
		assert.Assert(t, died >= 0 && died <= breaks+1000, "broken at %d ms, found at %d ms", breaks, died)
	})
}

// Guards against closing connections to a peer that is silent on all of them, and connections of a process that was
// paused.
func TestCommonSilenceIsNoEvidence(t *testing.T) {
	for _, step := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
		d := stall.New(stall.Defaults())
		for n := range uint64(2) {
			d.Opened(start, conn(n))
			d.Queued(start, conn(n), stall.Call{ID: n})
		}
		d.Check(start)
		for i := 1; i < 30; i++ {
			now := start.Add(time.Duration(i) * step)
			if step > time.Second {
				d.Received(now, conn(0)) // handled first after each pause
			}
			for _, v := range d.Check(now) {
				assert.Equal(t, v.State, stall.Suspect)
			}
		}
	}
}

// Guards against taking a connection that is idle or carries only a long call for a stalled one.
func TestConnectionWithoutShortCallsIsNotJudged(t *testing.T) {
	d := stall.New(stall.Defaults())
	d.Opened(start, conn(0))
	d.Opened(start, conn(1))
	d.Queued(start, conn(0), stall.Call{ID: 1, Long: true})
	for i := range 50 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		d.Received(now, conn(1))
		assert.Equal(t, len(d.Check(now)), 0)
	}
}

// Guards against unbounded growth of connections when every new one stalls too.
func TestOpenRateIsBounded(t *testing.T) {
	d := stall.New(stall.Defaults())
	opened, maxOpen := 0, 0
	for i := range 100 { // 10 s
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if d.AllowOpen(now, 7) {
			c := conn(uint64(opened))
			d.Opened(now, c)
			d.Queued(now, c, stall.Call{ID: uint64(opened)})
			opened++
		}
		if i%10 == 9 {
			d.Closed(now, conn(uint64(opened-1)))
		}
		maxOpen = max(maxOpen, d.Conns())
	}
	assert.Assert(t, opened <= 13 && maxOpen <= 4, "%d opened, %d at once", opened, maxOpen)
}

func ExampleDetector() {
	d := stall.New(stall.Defaults())
	now := time.Unix(0, 0)
	stuck, other := stall.ConnID{Peer: 7, Number: 1}, stall.ConnID{Peer: 7, Number: 2}
	d.Opened(now, stuck)
	d.Opened(now, other)
	d.Queued(now, stuck, stall.Call{ID: 11, Idempotent: true})
	d.Queued(now, stuck, stall.Call{ID: 12})
	d.Sent(now, stuck, 11)
	d.Sent(now, stuck, 12)
	for range 9 {
		now = now.Add(100 * time.Millisecond)
		d.Received(now, other)
		for _, v := range d.Check(now) {
			fmt.Println(v.Conn.Number, v.State == stall.Dead, v.Resendable, v.MaybeExecuted)
		}
	}
	// Output:
	// 1 false [] []
	// 1 true [11] [12]
}

// Guards against ignoring bytes received on a connection that is closed before the next Check. Pings open and close
// such a connection between two Checks.
func TestClosedConnectionIsEvidence(t *testing.T) {
	for _, compare := range []bool{false, true} {
		d := stall.New(stall.Defaults())
		d.Opened(start, conn(1))
		d.Queued(start, conn(1), stall.Call{ID: 1})
		dead := false
		for ms := 0; ms <= 1000; ms += 100 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms == 500 && compare {
				d.Opened(now, conn(2))
				d.Received(now, conn(2))
				d.Closed(now, conn(2))
			}
			for _, v := range d.Check(now) {
				dead = dead || v.State == stall.Dead
			}
		}
		assert.Equal(t, dead, compare)
	}
}
