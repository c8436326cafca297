package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/eventlog"
)

// outage is a platform that is down until a time, and then tells who asks first.
type outage struct {
	mustardmast.Platform
	end   time.Time
	asked chan time.Time
}

func (o outage) Watch(ctx context.Context, _ string, _ uint64) (mustardmast.Object, error) {
	if time.Now().Before(o.end) {
		return mustardmast.Object{}, fault.New(fault.PlatformUnavailable, "down")
	}
	o.asked <- time.Now()
	<-ctx.Done()
	return mustardmast.Object{}, ctx.Err()
}

// Guards against watchers that sleep on after a long outage of the platform, while a change that was accepted since
// must be in force everywhere within 8 s. Half of that is left for the way to the other nodes.
func TestWatchAfterOutage(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			o := outage{end: time.Now().Add(10 * time.Minute), asked: make(chan time.Time, 1)}
			c := &Control{s: Settings{Platform: o, Timers: wallTimers{}, Log: eventlog.New(zap.NewNop())}, rng: rand.New(rand.NewPCG(seed, 0)), ctx: ctx}
			c.goRun(func() { c.watchPlatform(ctx) })
			late := (<-o.asked).Sub(o.end)
			assert.Assert(t, late <= 4*time.Second, "seed %d: first watch %s after the outage", seed, late)
			cancel()
			c.running.Wait()
		})
	}
}
