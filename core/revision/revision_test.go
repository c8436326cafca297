package revision_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/core/revision"
)

// Guards against a revision of another history that is taken for a later state.
func TestRevisionFollowsInItsEraOnly(t *testing.T) {
	for _, c := range []struct {
		later, earlier revision.Revision
		want           bool
	}{
		{revision.Revision{Era: 1, Number: 7}, revision.Revision{Era: 1, Number: 7}, true},
		{revision.Revision{Era: 1, Number: 8}, revision.Revision{Era: 1, Number: 7}, true},
		{revision.Revision{Era: 1, Number: 6}, revision.Revision{Era: 1, Number: 7}, false},
		{revision.Revision{Era: 2, Number: 8}, revision.Revision{Era: 1, Number: 7}, false},
		{revision.Revision{Era: 1, Number: 8}, revision.Revision{Era: 2, Number: 7}, false},
		{revision.Revision{Number: 8}, revision.Revision{Number: 7}, true},
	} {
		assert.Equal(t, c.later.Follows(c.earlier), c.want, "%+v", c)
	}
}
