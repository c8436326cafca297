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

// outage is a platform that is unavailable until a given time and records the first watch after it.
type outage struct {
	mustardmast.Platform
	end     time.Time
	watched chan time.Time
}

func (o outage) Watch(ctx context.Context, _ string, _ uint64) (mustardmast.Object, error) {
	if time.Now().Before(o.end) {
		return mustardmast.Object{}, fault.New(fault.PlatformUnavailable, "down")
	}
	o.watched <- time.Now()
	<-ctx.Done()
	return mustardmast.Object{}, ctx.Err()
}

// Guards against watchers whose backoff is too long after an outage of the platform. A change that is accepted after
// the outage must be in force everywhere within 8 s; half of that is reserved for its propagation to the other nodes.
func TestWatchAfterOutage(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			o := outage{end: time.Now().Add(10 * time.Minute), watched: make(chan time.Time, 1)}
			c := &Control{s: Settings{Platform: o, Timers: wallTimers{}, Log: eventlog.New(zap.NewNop())}, rng: rand.New(rand.NewPCG(seed, 0)), ctx: ctx}
			c.goRun(func() { c.watchPlatform(ctx) })
			delay := (<-o.watched).Sub(o.end)
			assert.Assert(t, delay <= 4*time.Second, "seed %d: first watch %s after the outage", seed, delay)
			cancel()
			c.running.Wait()
		})
	}
}
