package header_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/header"
)

var now = time.Unix(1000, 0)

// Guards against fields of a call that are lost or changed between two nodes.
func TestCallRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := call.Spec{
			ID:       rapid.StringMatching(`[a-z0-9]{1,20}(/[a-z]{1,8}){0,3}`).Draw(t, "id"),
			Key:      rapid.StringMatching(`[a-z]{0,8}`).Draw(t, "key"),
			Backer:   rapid.StringMatching(`[a-z-]{1,20}`).Draw(t, "backer"),
			Priority: call.Priority(rapid.IntRange(0, call.NumPriorities-1).Draw(t, "priority")),
			Attempt:  rapid.IntRange(1, call.MaxAttempt).Draw(t, "attempt"),
			Retries:  rapid.IntRange(0, call.MaxRetries).Draw(t, "retries"),
			Depth:    rapid.IntRange(1, 8).Draw(t, "depth"),
			Deadline: now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond),
			Path:     rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,5}`), 1, 8).Draw(t, "path"),
		}
		h := http.Header{}
		header.WriteCall(h, now, call.New(in))
		var out call.Spec
		assert.NilError(t, header.ReadCall(h, now, &out))
		assert.DeepEqual(t, out, in)
	})
}

// Guards against an invalid value that is silently replaced by the default.
func TestInvalidValueIsReported(t *testing.T) {
	for name, value := range map[string]string{
		header.Attempt: "0", header.Priority: "urgent", header.DeadlineMS: "-1", header.RequestID: "a b",
	} {
		h := http.Header{}
		h.Set(name, value)
		err := header.ReadCall(h, now, &call.Spec{})
		assert.Equal(t, fault.KindOf(err), fault.BadRequest)
		assert.ErrorContains(t, err, value)
	}
}

// Guards against an outcome that changes when a node forwards an error.
func TestErrorRoundTrip(t *testing.T) {
	for _, k := range fault.Kinds() {
		w := httptest.NewRecorder()
		header.WriteError(w, "id-1", fault.New(k, "x").WithOutcome(fault.Unknown).WithRetryAfter(time.Second))
		e := header.ReadError(w.Header())
		assert.Equal(t, e.Kind(), k)
		assert.Equal(t, e.Detail(), "x")
		assert.Equal(t, e.Outcome(), fault.Unknown)
		assert.Equal(t, e.RetryAfter(), time.Second)
	}
}

// Guards against load report fields that are written and read in different orders.
func TestLoadRoundTrip(t *testing.T) {
	in := mustardmast.Load{InFlight: 1, Queued: 2, Limit: 3, Age: 4 * time.Millisecond}
	h := http.Header{}
	header.WriteLoad(h, in)
	out, ok := header.ReadLoad(h)
	assert.Assert(t, ok)
	assert.Equal(t, out, in)
}

// Guards against a retry-after value that overflows and becomes negative; found by fuzzing.
func TestExcessiveRetryAfterIsIgnored(t *testing.T) {
	h := http.Header{}
	h.Set(header.Error, fault.Shed.String())
	h.Set(header.RetryAfterMS, "9223372036854775807")
	assert.Equal(t, header.ReadError(h).RetryAfter(), time.Duration(0))
}
