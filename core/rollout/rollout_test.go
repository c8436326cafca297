package rollout_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/rollout"
)

// A fixed seed makes CI runs reproducible. Use -rapid.seed=N to generate other sequences.
func init() { _ = flag.Set("rapid.seed", "20260104") }

var start = time.Unix(1_000_000, 0)

func installed() error { return nil }

func Example() {
	r := rollout.New(1)
	r.Offer(rollout.Platform, rollout.Version{Generation: 12, ChangeID: "c12"}, installed)
	// The platform was restored from an older backup.
	done, alarm := r.Offer(rollout.Platform, rollout.Version{Generation: 9, ChangeID: "c9"}, installed)
	fmt.Println(done, alarm.Kind, "in force:", r.Current().Generation)
	// Output: false generation-lower in force: 12
}

type offer struct {
	source rollout.Source
	v      rollout.Version
	broken bool
}

func drawOffers(t *rapid.T) []offer {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) offer {
		g := rapid.Uint64Range(1, 12).Draw(t, "generation")
		return offer{
			source: rollout.Source(rapid.IntRange(0, 1).Draw(t, "source")),
			v:      rollout.Version{Generation: g, ChangeID: fmt.Sprint(g, rapid.IntRange(0, 1).Draw(t, "fork"))},
			broken: rapid.IntRange(0, 4).Draw(t, "broken") == 0,
		}
	}), 1, 40).Draw(t, "offers")
}

// Guards against reverting to an older configuration, in whatever order the platform and peers offer theirs.
func TestGenerationNeverDecreases(t *testing.T) {
	naiveDecreased := false
	rapid.Check(t, func(t *rapid.T) {
		r := rollout.New(3)
		inForce, naive := uint64(0), uint64(0)
		for _, o := range drawOffers(t) {
			before := r.Current()
			installs := 0
			installed, alarm := r.Offer(o.source, o.v, func() error {
				installs++
				if o.broken {
					return errors.New("not usable")
				}
				inForce = o.v.Generation
				return nil
			})
			after := r.Current()
			assert.Assert(t, after.Generation >= before.Generation)
			assert.Equal(t, after.Generation, inForce)
			assert.Assert(t, installs <= 1 && installed == (installs == 1 && !o.broken))
			if after == before && o.v.Generation == before.Generation && o.v != before {
				assert.Assert(t, alarm.Kind == rollout.Conflict || alarm.Kind == 0)
			}
			// The naive variant installs the latest offer.
			if !o.broken {
				naiveDecreased = naiveDecreased || o.v.Generation < naive
				naive = o.v.Generation
			}
		}
	})
	assert.Assert(t, naiveDecreased, "the sequences never offered a lower generation")
}

// Guards against a missing or repeated alarm, an alarm for a peer that lags, and repeated installs of a broken version.
func TestAlarms(t *testing.T) {
	r := rollout.New(0)
	offer := func(s rollout.Source, g uint64, id string, err error) rollout.AlarmKind {
		_, a := r.Offer(s, rollout.Version{Generation: g, ChangeID: id}, func() error { return err })
		return a.Kind
	}
	assert.Equal(t, offer(rollout.Platform, 5, "a", nil), rollout.AlarmKind(0))
	assert.Equal(t, offer(rollout.Peer, 4, "z", nil), rollout.AlarmKind(0), "a peer may lag")
	assert.Equal(t, offer(rollout.Platform, 4, "z", nil), rollout.LowerGeneration)
	assert.Equal(t, offer(rollout.Platform, 4, "z", nil), rollout.AlarmKind(0), "raised once")
	assert.Equal(t, offer(rollout.Peer, 5, "b", nil), rollout.Conflict)
	assert.Equal(t, offer(rollout.Peer, 6, "c", errors.New("not usable")), rollout.Unreadable)
	assert.Assert(t, !r.ShouldInstall(rollout.Version{Generation: 6, ChangeID: "c"}), "a version that failed to install is not tried again")
	assert.Equal(t, r.Current().Generation, uint64(5))
}

// Guards the readiness rule: all sources have responded, or Grace has passed since the first with a configuration.
func TestReady(t *testing.T) {
	r := rollout.New(3)
	r.SourceResponded(start, 0)
	assert.Assert(t, !r.Ready(start.Add(time.Hour)), "no source has a configuration")
	r.Offer(rollout.Peer, rollout.Version{Generation: 3, ChangeID: "c"}, installed)
	r.SourceResponded(start, 3)
	assert.Assert(t, !r.Ready(start.Add(rollout.Grace-1)), "the third source may have a newer one")
	assert.Assert(t, r.Ready(start.Add(rollout.Grace)))

	all := rollout.New(2)
	all.SourceResponded(start, 0)
	all.SourceResponded(start, 0)
	assert.Assert(t, !all.Ready(start))
	all.Offer(rollout.Peer, rollout.Version{Generation: 3}, installed)
	assert.Assert(t, all.Ready(start))
}
