package config_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/config"
)

func testSpec(change func(s *config.Spec)) config.Spec {
	method := func(name string) []config.Method {
		return []config.Method{{Name: name, Deadline: time.Second}}
	}
	s := config.Spec{
		Services: []config.Service{
			{Name: "socket-board", DependsOn: []string{"plug-ledger"}, Methods: method("assign"), Slots: 100},
			{Name: "plug-ledger", Methods: method("record")},
		},
		Backers: []config.Backer{{Name: "north-quay", SharePercent: 60}, {Name: "south-quay", SharePercent: 20}},
		Limits:  config.Limits{RetryBudget: 3, MaxDepth: 8, RetryPercent: 10},
	}
	if change != nil {
		change(&s)
	}
	return s
}

// Guards against a rule that no longer reports its fault, or reports it at a different path.
func TestValidateReportsFaults(t *testing.T) {
	for want, change := range map[string]func(s *config.Spec){
		"services.plug-ledger: the name is used twice":           func(s *config.Spec) { s.Services = append(s.Services, s.Services[1]) },
		"services.socket-board.methods.assign: the name":         func(s *config.Spec) { s.Services[0].Methods = append(s.Services[0].Methods, s.Services[0].Methods[0]) },
		"backers.north-quay: the name is used twice":             func(s *config.Spec) { s.Backers[1].Name = "north-quay" },
		"backers: the shares add up to 100.01%":                  func(s *config.Spec) { s.Backers[1].SharePercent = 40.01 },
		"backers.south-quay.share-percent: -1":                   func(s *config.Spec) { s.Backers[1].SharePercent = -1 },
		"dependency cycle socket-board -> plug-ledger -> s":      func(s *config.Spec) { s.Services[1].DependsOn = []string{"socket-board"} },
		"the chain socket-board -> plug-ledger is 2":             func(s *config.Spec) { s.Limits.MaxDepth = 1 },
		"limits.retry-budget: 101":                               func(s *config.Spec) { s.Limits.RetryBudget = 101 },
		"services.socket-board.slots: 2 backers have a share":    func(s *config.Spec) { s.Services[0].Slots = 1 },
		"services.socket-board.methods.assign.deadline: 0s":      func(s *config.Spec) { s.Services[0].Methods[0].Deadline = 0 },
		"services.socket-board.methods.assign.priority: priorit": func(s *config.Spec) { s.Services[0].Methods[0].Priority = 9 },
		"services.x.y: name \"x.y\"":                             func(s *config.Spec) { s.Services[1].Name = "x.y"; s.Services[0].DependsOn = nil },
	} {
		faults := config.Validate(testSpec(change))
		assert.Assert(t, len(faults) > 0, want)
		assert.ErrorContains(t, fmt.Errorf("%v", faults), want)
	}
	assert.Equal(t, len(config.Validate(testSpec(nil))), 0)
	tenths := testSpec(func(s *config.Spec) {
		s.Backers = nil
		for i := range 10 {
			s.Backers = append(s.Backers, config.Backer{Name: fmt.Sprintf("b%d", i), SharePercent: 10})
		}
	})
	assert.Equal(t, len(config.Validate(tenths)), 0)
}

func ExampleDiff() {
	from := config.New(testSpec(nil))
	to := config.New(testSpec(func(s *config.Spec) {
		s.Backers[1].SharePercent = 30
		s.Services[0].Slots = 80
	}))
	d := config.Diff(from, to)
	for _, c := range d.Changes {
		fmt.Println(c.Summary)
	}
	for _, s := range d.Shares {
		fmt.Printf("%s: guaranteed %g%% -> %g%%, contended %g%% -> %g%%\n",
			s.Backer, s.GuaranteedFrom, s.GuaranteedTo, s.ContendedFrom, s.ContendedTo)
	}
	// Output:
	// services.socket-board.slots changes from 100 to 80
	// backers.south-quay.share-percent changes from 20 to 30
	// north-quay: guaranteed 60% -> 60%, contended 75% -> 66.67%
	// south-quay: guaranteed 20% -> 30%, contended 25% -> 33.33%
}
