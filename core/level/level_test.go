package level_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/level"
	"mustardmast/core/share"
)

var (
	epoch        = time.Unix(1000, 0)
	knownBackers = share.New([]config.Backer{{Name: "a", SharePercent: 100}})
)

func request(id int, service string) call.Call {
	return call.New(call.Spec{ID: fmt.Sprint(id), Service: service, Method: "m", Backer: "a", Priority: call.Normal, Depth: 1})
}

// Guards against withheld calls that are counted twice or lost, and against a table above its maximum size.
func TestWithheldCountIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := level.New(level.Spec{Share: knownBackers, Size: 16})
		now, withheld, reported := epoch, uint32(0), uint32(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			tab.Learn(now, request(0, fmt.Sprint("other-", i)), 0)
			if rapid.Bool().Draw(t, "learn") {
				tab.Learn(now, request(0, "s"), mustardmast.Level(rapid.IntRange(0, 64).Draw(t, "level")))
			}
			carried := uint32(rapid.IntRange(0, 5).Draw(t, "carried"))
			n, ok := tab.Admit(now, request(i, "s"), carried)
			if withheld += carried; ok {
				reported += n
			} else {
				withheld++
			}
			assert.Assert(t, tab.Len() <= 16)
		}
		n, ok := tab.Admit(now.Add(time.Minute), request(0, "s"), 0)
		assert.Assert(t, ok)
		assert.Equal(t, reported+n, withheld)
	})
}

// Guards against a level that is used for longer than 2 s.
func TestLevelExpires(t *testing.T) {
	tab := level.New(level.Spec{Share: knownBackers})
	for range 100 {
		tab.Learn(epoch, request(0, "s"), 0)
	}
	assert.Equal(t, tab.Level(epoch.Add(time.Second), "s", "m", call.Normal, "a"), mustardmast.Level(0))
	assert.Equal(t, tab.Level(epoch.Add(level.Expiry), "s", "m", call.Normal, "a"), mustardmast.FullLevel)
}

// Guards against one overloaded target in six that blocks the calls which the other five would admit.
func TestOneOverloadedTargetDoesNotDominate(t *testing.T) {
	tab := level.New(level.Spec{Share: knownBackers})
	for i := range 600 {
		l := mustardmast.FullLevel
		if i%6 == 0 {
			l = 0
		}
		tab.Learn(epoch.Add(time.Duration(i)*2*time.Millisecond), request(0, "s"), l)
	}
	assert.Assert(t, tab.Level(epoch.Add(1200*time.Millisecond), "s", "m", call.Normal, "a") >= 50)
}

// Guards against a rare sub-call that lowers the level of a method, and a usual one that does not.
func TestOnlyUsualSubCallsLowerLevel(t *testing.T) {
	tab, subCalls := level.New(level.Spec{Share: knownBackers}), level.NewSubCalls()
	tab.Learn(epoch, request(0, "usual"), 0)
	tab.Learn(epoch, request(0, "rare"), 0)
	for i := range 500 {
		if i%10 == 0 {
			subCalls.RecordCall("m", request(i, "rare"))
		}
		subCalls.RecordSuccess("m")
	}
	assert.Equal(t, subCalls.MinLevel(epoch, tab, "m", call.Normal, "a"), mustardmast.FullLevel)
	for i := range 500 {
		subCalls.RecordCall("m", request(i, "usual"))
		subCalls.RecordSuccess("m")
	}
	assert.Assert(t, subCalls.MinLevel(epoch, tab, "m", call.Normal, "a") < mustardmast.FullLevel)
}

func ExampleTable() {
	t := level.New(level.Spec{Share: knownBackers})
	for i := range 100 {
		t.Learn(epoch.Add(time.Duration(i)*time.Millisecond), request(0, "shares"), 0)
	}
	now := epoch.Add(99 * time.Millisecond)
	_, first := t.Admit(now, request(1, "shares"), 0)
	_, second := t.Admit(now, request(2, "shares"), 0)
	withheld, probe := t.Admit(now.Add(100*time.Millisecond), request(3, "shares"), 0)
	fmt.Println(first, second, probe, withheld)
	// Output: false false true 2
}
