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

func init() { _ = flag.Set("rapid.seed", "20260104") }

var start = time.Unix(1_000_000, 0)

func fine() error { return nil }

func Example() {
	r := rollout.New(1)
	r.Offer(rollout.Platform, rollout.Version{Generation: 12, ChangeID: "c12"}, fine)
	// The platform was restored from an older copy.
	installed, alarm := r.Offer(rollout.Platform, rollout.Version{Generation: 9, ChangeID: "c9"}, fine)
	fmt.Println(installed, alarm.Kind, "in force:", r.Current().Generation)
	// Output: false generation-lower in force: 12
}

type offer struct {
	source rollout.Source
	v      rollout.Version
	bad    bool
}

func drawOffers(t *rapid.T) []offer {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) offer {
		g := rapid.Uint64Range(1, 12).Draw(t, "generation")
		return offer{
			source: rollout.Source(rapid.IntRange(0, 1).Draw(t, "source")),
			v:      rollout.Version{Generation: g, ChangeID: fmt.Sprint(g, rapid.IntRange(0, 1).Draw(t, "fork"))},
			bad:    rapid.IntRange(0, 4).Draw(t, "bad") == 0,
		}
	}), 1, 40).Draw(t, "offers")
}

// Guards against a configuration that reverts, in whatever order platform and peers show theirs.
func TestGenerationsNeverGoBack(t *testing.T) {
	naiveWentBack := false
	rapid.Check(t, func(t *rapid.T) {
		r := rollout.New(3)
		inForce, naive := uint64(0), uint64(0)
		for _, o := range drawOffers(t) {
			before := r.Current()
			installs := 0
			installed, alarm := r.Offer(o.source, o.v, func() error {
				installs++
				if o.bad {
					return errors.New("not usable")
				}
				inForce = o.v.Generation
				return nil
			})
			after := r.Current()
			assert.Assert(t, after.Generation >= before.Generation)
			assert.Equal(t, after.Generation, inForce)
			assert.Assert(t, installs <= 1 && installed == (installs == 1 && !o.bad))
			if after == before && o.v.Generation == before.Generation && o.v != before {
				assert.Assert(t, alarm.Kind == rollout.Conflict || alarm.Kind == 0)
			}
			// The naive variant puts in force what it was shown last.
			if !o.bad {
				naiveWentBack = naiveWentBack || o.v.Generation < naive
				naive = o.v.Generation
			}
		}
	})
	assert.Assert(t, naiveWentBack, "the sequences never offered a lower generation")
}

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
	assert.Assert(t, !r.ShouldInstall(rollout.Version{Generation: 6, ChangeID: "c"}), "an unusable text is not asked for again")
	assert.Equal(t, r.Current().Generation, uint64(5))
}

// Guards the readiness rule: all sources, or two seconds after the first that had a configuration.
func TestReady(t *testing.T) {
	r := rollout.New(3)
	r.SourceResponded(start, 0)
	assert.Assert(t, !r.Ready(start.Add(time.Hour)), "nobody has a configuration")
	r.Offer(rollout.Peer, rollout.Version{Generation: 3, ChangeID: "c"}, fine)
	r.SourceResponded(start, 3)
	assert.Assert(t, !r.Ready(start.Add(rollout.Grace-1)), "the third source may have a newer one")
	assert.Assert(t, r.Ready(start.Add(rollout.Grace)))

	all := rollout.New(2)
	all.SourceResponded(start, 0)
	all.SourceResponded(start, 0)
	assert.Assert(t, !all.Ready(start))
	all.Offer(rollout.Peer, rollout.Version{Generation: 3}, fine)
	assert.Assert(t, all.Ready(start))
}
