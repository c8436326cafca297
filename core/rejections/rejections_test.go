package rejections_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/rejections"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a retry of a rejected request that is treated like a new request.
func TestWaitedSinceFirstAttempt(t *testing.T) {
	tracker := rejections.New()
	key := rejections.Key("a.example", "/x/1", 0)
	assert.Equal(t, tracker.Waited(start, key), time.Duration(0))
	tracker.Rejected(start, key)
	tracker.Rejected(start.Add(300*time.Millisecond), key)
	assert.Equal(t, tracker.Waited(start.Add(time.Second), key), time.Second)
	assert.Equal(t, tracker.Waited(start.Add(time.Minute), key), time.Duration(0))
	tracker.Served(key)
	assert.Equal(t, tracker.Waited(start.Add(time.Second), key), time.Duration(0))
	assert.Assert(t, rejections.Key("a.example", "/x/1", 1) != key)
}

// Guards against memory that grows with the number of rejected requests.
func TestOldRejectionsAreEvicted(t *testing.T) {
	tracker := rejections.New()
	for n := range uint64(200_000) {
		tracker.Rejected(start.Add(time.Duration(n)*time.Millisecond), n)
	}
	assert.Equal(t, tracker.Waited(start.Add(200*time.Second), 0), time.Duration(0))
	assert.Assert(t, tracker.Waited(start.Add(200*time.Second), 199_999) > 0)
}
