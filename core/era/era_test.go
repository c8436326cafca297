package era_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/core/era"
	"mustardmast/core/revision"
)

// Guards against a restore that is not noticed, and against a late response of an earlier era that is taken for a restore.
func TestRestoreIsReportedOnce(t *testing.T) {
	var tracker era.Tracker
	for _, step := range []struct {
		era      uint64
		restored bool
		current  uint64
	}{{0, false, 0}, {4, false, 4}, {4, false, 4}, {5, true, 5}, {4, false, 5}, {0, false, 5}, {5, false, 5}, {8, true, 8}} {
		assert.Equal(t, tracker.Observe(step.era), step.restored, "%+v", step)
		assert.Equal(t, tracker.Current(), step.current, "%+v", step)
	}
}

// Guards against a watch from a revision of an earlier era, or from none.
func TestRevisionHoldsInTheLatestEraOnly(t *testing.T) {
	var tracker era.Tracker
	assert.Assert(t, !tracker.Holds(revision.Revision{}))
	assert.Assert(t, tracker.Holds(revision.Revision{Number: 3})) // a store that states no era
	tracker.Observe(2)
	assert.Assert(t, !tracker.Holds(revision.Revision{Number: 3}))
	assert.Assert(t, tracker.Holds(revision.Revision{Era: 2, Number: 3}))
	assert.Assert(t, !tracker.Holds(revision.Revision{Era: 2}))
	tracker.Observe(3)
	assert.Assert(t, !tracker.Holds(revision.Revision{Era: 2, Number: 3}))
}
