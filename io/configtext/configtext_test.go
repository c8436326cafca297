package configtext_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/io/configtext"
)

// The seed is fixed, so that failures are reproducible. The flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func read(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("testdata/" + name)
	assert.NilError(t, err)
	return b
}

// Guards against a fault that hides another one, and against wrong positions of faults.
func TestEveryFaultIsReportedInOneRun(t *testing.T) {
	_, faults := configtext.Decode(read(t, "bad.json"))
	golden.Assert(t, faults.Error()+"\n", "bad.golden")
	assert.Equal(t, fault.KindOf(faults.Err()), fault.ConfigInvalid)
}

// Guards against a syntax error that is reported without its position.
func TestSyntaxErrorsHavePositions(t *testing.T) {
	var out strings.Builder
	for _, src := range []string{"", "{", "[1]", "{\n  \"limits\": {},\n}", "{\n  \"limits\" {}\n}", "{\"limits\":\n  {\"max-depth\": 08}}",
		"{} {}", "{\n\"é\": tru }", "{\"services\": {\"a\" \"b\"}}", "{\"limits\":\n {\"max-depth\": 1 2}}", strings.Repeat("[", 100),
		"{\n \"limits\": \"a\nb\"}", "{\n{}: 1}",
		"{\n \"limits\": {\"max-depth\": 08, \"retry-budget\": 250ms,},\n \"services\" {\"a\": {\"slots\": 'x y'} \"b\": {\"depends-on\": [c, \"d\",]}}\n}\n",
		"{services: {}}", "{\"limits\": {}, backers: {}}"} {
		_, faults := configtext.Decode([]byte(src))
		fmt.Fprintf(&out, "%q\n  %s\n", src, strings.ReplaceAll(faults.Error(), "\n", "\n  "))
	}
	golden.Assert(t, out.String(), "syntax.golden")
}

// Guards against a canonical form that is not stable when it is decoded and encoded again, or that differs from the
// expected text.
func TestCanonicalText(t *testing.T) {
	c, faults := configtext.Decode(read(t, "koper.json"))
	assert.NilError(t, faults.Err())
	first := configtext.Encode(c)
	golden.Assert(t, string(first), "koper.golden")
	again, faults := configtext.Decode(first)
	assert.NilError(t, faults.Err())
	assert.Assert(t, bytes.Equal(configtext.Encode(again), first))
	assert.Assert(t, config.Diff(c, again).Empty())
}

// Guards against accepting a dependency chain above the maximum depth or a text above the maximum size, and against
// quadratic work on long lists.
func TestBounds(t *testing.T) {
	var b strings.Builder
	for i := range 10 {
		fmt.Fprintf(&b, "%q: {\"depends-on\": [\"s%d\"]},", fmt.Sprintf("s%d", i), i+1)
	}
	_, faults := configtext.Decode([]byte(`{"services": {` + b.String() + `"s10": {}}}`))
	assert.Equal(t, len(faults), 1)
	assert.ErrorContains(t, faults.Err(), "s9 -> s10 is 11 deep; allowed: at most limits.max-depth = 8")
	_, faults = configtext.Decode(make([]byte, configtext.MaxBytes+1))
	assert.ErrorContains(t, faults.Err(), "at most 600000 bytes")
	_, faults = configtext.Decode([]byte(`{"services": {"a": {"depends-on": ["a"` + strings.Repeat(`,"a"`, 140_000) + `]}}}`))
	assert.ErrorContains(t, faults.Err(), "140001 entries; allowed: at most 32")
}

// Guards against a page whose keys, defaults or bounds differ from those of the code.
func TestPageListsEveryKey(t *testing.T) {
	whole, err := os.ReadFile("../../docs/configuration.md")
	assert.NilError(t, err)
	_, page, _ := strings.Cut(string(whole), "## Keys\n")
	page, example, ok := strings.Cut(page, "## Example\n")
	assert.Assert(t, ok)
	for _, k := range configtext.Keys() {
		row := fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", k.Path, k.Type, k.Unit, k.Default, k.Bounds, k.Description)
		assert.Assert(t, strings.Contains(page, row+"\n"), "docs/configuration.md lacks the row\n%s", row)
	}
	rows := strings.Count(page, "\n| `")
	assert.Equal(t, rows, len(configtext.Keys()), "docs/configuration.md has rows for keys that do not exist")
	example = strings.SplitN(strings.SplitN(example, "```json\n", 2)[1], "```", 2)[0]
	_, faults := configtext.Decode([]byte(example))
	assert.NilError(t, faults.Err())
}

// Guards against defaults in the table of keys that the decoder does not apply.
func TestDefaultsAreApplied(t *testing.T) {
	c, faults := configtext.Decode([]byte(`{"services": {"a": {"methods": {"m": {}}}}}`))
	assert.NilError(t, faults.Err())
	encoded := string(configtext.Encode(c))
	for _, k := range configtext.Keys() {
		name := k.Path[strings.LastIndex(k.Path, ".")+1:]
		if strings.Count(k.Path, ".") < 1 || k.Default == "must be present" || k.Type == "object" {
			continue
		}
		assert.Assert(t, strings.Contains(encoded, fmt.Sprintf("%q: %s", name, k.Default)) ||
			strings.Contains(encoded, fmt.Sprintf("%q: %q", name, k.Default)), "%s does not default to %s", k.Path, k.Default)
	}
}

// Guards against values that are lost or changed in a round trip.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := config.Spec{Limits: config.Limits{RetryBudget: rapid.IntRange(0, 100).Draw(t, "budget"),
			MaxDepth: rapid.IntRange(5, 32).Draw(t, "depth"), RetryPercent: rapid.IntRange(0, 100).Draw(t, "percent")}}
		for i := range rapid.IntRange(0, 5).Draw(t, "services") {
			v := config.Service{Name: fmt.Sprintf("s%d", i), Slots: rapid.IntRange(10, 1000).Draw(t, "slots")}
			if i > 0 && rapid.Bool().Draw(t, "depends") {
				v.DependsOn = []string{fmt.Sprintf("s%d", i-1)}
			}
			v.Methods = []config.Method{{Name: "m", Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Priority: call.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), Long: rapid.Bool().Draw(t, "long"),
				Deadline: time.Duration(rapid.Int64Range(int64(config.MinDeadline), int64(config.MaxDeadline)).Draw(t, "deadline"))}}
			s.Services = append(s.Services, v)
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "backers") {
			share := math.Round(rapid.Float64Range(0, 25).Draw(t, "share")*100) / 100
			s.Backers = append(s.Backers, config.Backer{Name: fmt.Sprintf("b%d", i), SharePercent: share})
		}
		assert.Equal(t, len(config.Validate(s)), 0)
		out, faults := configtext.Decode(configtext.Encode(config.New(s)))
		assert.NilError(t, faults.Err())
		assert.DeepEqual(t, config.Diff(config.New(s), out).Changes, []config.Change(nil))
	})
}

// Guards against a panic on any input, a repair that hides a fault, and a text that is accepted but does not survive a
// round trip.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"bad.json", "koper.json"} {
		b, err := os.ReadFile("testdata/" + name)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		c, faults := configtext.Decode(src)
		for _, x := range faults {
			if x.Line < 1 || x.Column < 1 || x.Path == "" || x.Problem == "" || x.Allowed == "" {
				t.Fatalf("incomplete fault %+v", x)
			}
		}
		if len(faults) > 0 {
			return
		}
		if !json.Valid(src) {
			t.Fatal("a text that is not JSON is accepted")
		}
		again, faults := configtext.Decode(configtext.Encode(c))
		if len(faults) > 0 || !config.Diff(c, again).Empty() {
			t.Fatalf("canonical text differs: %v", faults)
		}
	})
}

func ExampleDecode() {
	_, faults := configtext.Decode([]byte(`{
  "services": { "gallery": { "depends-on": ["shares"] } }
}`))
	fmt.Println(faults[0])
	// Output: line 2, column 45: services.gallery.depends-on[0]: unknown service "shares"; allowed: one of gallery
}
