package requestid_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/requestid"
	"mustardmast/io/header"
)

var start = time.Unix(1000, 0)

func newIssuer(owner mustardmast.NodeID, key byte) *requestid.Issuer {
	return requestid.NewIssuer(owner, requestid.Key{key}, start, requestid.DefaultWindow)
}

// Guards against an id that loses a part in transit, is too long for a header, or has two text forms.
func TestIDRoundTripsThroughTextAndHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newIssuer(mustardmast.NodeID(rapid.Uint64().Draw(t, "owner")), 1)
		at := start.Add(time.Duration(rapid.Int64Range(0, int64(100*24*time.Hour)).Draw(t, "at")))
		id := s.Issue(at, 1)[0]
		text := id.String()
		for _, k := range rapid.SliceOfN(rapid.StringMatching(`[a-zA-Z0-9._:@-]{1,30}`), 0, 4).Draw(t, "keys") {
			var err error
			text, err = requestid.SubCallID(text, k)
			assert.NilError(t, err)
		}
		h := http.Header{}
		h.Set(header.RequestID, text)
		var c call.Spec
		assert.NilError(t, header.ReadCall(h, at, &c))
		parsed, ok := requestid.Parse(c.ID)
		assert.Assert(t, ok, text)
		assert.Equal(t, parsed.String(), text)
		assert.Equal(t, parsed.Owner(), s.Owner())
		assert.NilError(t, s.Verify(at, parsed))
	})
}

// Guards against two requests with the same id when ids are issued concurrently.
func TestRangesDoNotOverlap(t *testing.T) {
	s := newIssuer(7, 1)
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := map[requestid.ID]bool{}
	for g := range 8 {
		wg.Go(func() {
			for range 50 {
				ids := s.Issue(start, g+1)
				mu.Lock()
				for _, id := range ids {
					assert.Check(t, !seen[id])
					seen[id] = true
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(seen), 50*(1+2+3+4+5+6+7+8))
}

// Guards against accepting an id that was guessed, belongs to a predecessor or is past its validity window.
func TestOnlyIssuedIDsVerify(t *testing.T) {
	s := newIssuer(7, 1)
	id := s.Issue(start, 1)[0]
	assert.NilError(t, s.Verify(start.Add(requestid.DefaultWindow-time.Millisecond), id))
	assert.Equal(t, fault.KindOf(s.Verify(start.Add(requestid.DefaultWindow), id)), fault.RequestIDExpired)

	assert.Equal(t, fault.KindOf(newIssuer(8, 1).Verify(start, id)), fault.RequestIDNotIssued)
	assert.Equal(t, fault.KindOf(newIssuer(7, 2).Verify(start, id)), fault.RequestIDNotIssued)
	// The sequence number was not issued.
	assert.Equal(t, fault.KindOf(newIssuer(7, 1).Verify(start, id)), fault.RequestIDNotIssued)
}

// Guards against an opaque id of a caller, or a second spelling of an issued id, that is accepted as an issued one.
func TestOpaqueIDsDoNotParse(t *testing.T) {
	text := newIssuer(7, 1).Issue(start, 1)[0].String()
	for _, s := range []string{
		"", "a1", "0123456789abcdef0123456789abcdef", text[:len(text)-1], text + "x", text + "/", text + "//a", text + "/a/",
		text[:20] + "\n" + text[20:], text[:20] + "\n" + text[21:], text + "/a b", text + "/" + string(make([]byte, 65)),
	} {
		_, ok := requestid.Parse(s)
		assert.Assert(t, !ok, "%q", s)
	}
	_, err := requestid.SubCallID(text, "a/b")
	assert.Equal(t, fault.KindOf(err), fault.BadRequest)
}

// Guards against a text that Parse accepts although String would not produce it.
func FuzzParse(f *testing.F) {
	text := newIssuer(7, 1).Issue(start, 1)[0].String()
	f.Add(text)
	f.Add(text + "/assign/record")
	f.Add("mm1:" + text)
	f.Fuzz(func(t *testing.T, s string) {
		if id, ok := requestid.Parse(s); ok && id.String() != s {
			t.Fatalf("%q parses to the id %q", s, id.String())
		}
	})
}

func ExampleIssuer() {
	s := requestid.NewIssuer(0xa1, requestid.Key{1}, start, requestid.DefaultWindow)
	id := s.Issue(start.Add(time.Second), 1)[0]
	sub, _ := requestid.SubCallID(id.String(), "record")

	parsed, ok := requestid.Parse(sub)
	fmt.Println(ok, parsed.Owner(), parsed.IssuedAt(), parsed.CallKeys())
	fmt.Println(s.Verify(start.Add(2*time.Minute), parsed))
	// Output:
	// true 161 1s record
	// <nil>
}

func BenchmarkIssue(b *testing.B) {
	s := newIssuer(7, 1)
	b.ReportAllocs()
	for b.Loop() {
		_ = s.Issue(start, 1)
	}
}

func BenchmarkParseAndVerify(b *testing.B) {
	s := newIssuer(7, 1)
	text := s.Issue(start, 1)[0].String() + "/record"
	b.ReportAllocs()
	for b.Loop() {
		id, _ := requestid.Parse(text)
		if err := s.Verify(start, id); err != nil {
			b.Fatal(err)
		}
	}
}
