package target_test

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
	"mustardmast/io/target"
)

var start = time.Unix(1000, 0)

func announcement(service string) target.Announcement {
	return target.Announcement{Address: netip.MustParseAddrPort("127.0.0.1:80"), Service: service, Slots: 10}
}

// Guards against a node that reports an older state of its target to its peers after a newer one. With a periodic check
// and the first announcement at the same time, a ready target got no calls.
func TestWatchersSeeLatestStateLast(t *testing.T) {
	for range 200 {
		var l target.Local
		var mu sync.Mutex
		var last fault.Kind
		l.Watch(func(_ target.Announcement, err error) {
			time.Sleep(time.Microsecond)
			mu.Lock()
			defer mu.Unlock()
			last = fault.KindOf(err)
		})
		var all sync.WaitGroup
		all.Go(func() { l.CheckHeartbeat(start) })
		all.Go(func() { l.Announce(start, announcement("reefer-watch")) })
		all.Wait()
		l.CheckHeartbeat(start)
		_, err := l.Ready(start)
		assert.Equal(t, last, fault.KindOf(err))
	}
}

// Guards against a drain that also applies to the process that replaces the drained one.
func TestDrainEndsWithTheTarget(t *testing.T) {
	var l target.Local
	l.Announce(start, announcement("reefer-watch"))
	l.Drain(start)
	l.Announce(start, announcement("reefer-watch"))
	_, err := l.Ready(start)
	assert.Equal(t, fault.KindOf(err), fault.Draining)
	l.Announce(start.Add(time.Minute), announcement("reefer-watch")) // the same address after a heartbeat timeout
	_, err = l.Ready(start.Add(time.Minute))
	assert.NilError(t, err)
	l.Drain(start)
	next := announcement("reefer-watch")
	next.Address = netip.MustParseAddrPort("127.0.0.1:81")
	l.Announce(start, next)
	_, err = l.Ready(start)
	assert.NilError(t, err)
}

func ExampleLocal() {
	var l target.Local
	_, err := l.Ready(start)
	fmt.Println(err)
	l.Announce(start, announcement("reefer-watch"))
	a, err := l.Ready(start)
	fmt.Println(a.Service, err)
	_, err = l.Ready(start.Add(4 * time.Second))
	fmt.Println(err)
	// Output:
	// not-ready: no target has announced itself on this host
	// reefer-watch <nil>
	// not-ready: no heartbeat from the target of service "reefer-watch" for 3s
}
