package era_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/core/era"
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
