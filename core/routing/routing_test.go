package routing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/routing"
)

func route(host, prefix string, services ...routing.WeightedService) routing.RouteSpec {
	return routing.RouteSpec{Name: prefix, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 2, Services: services}
}

func table(t *testing.T, routes ...routing.RouteSpec) *routing.Table {
	t.Helper()
	tab, err := routing.New(routing.Spec{Version: 1, Routes: routes, Services: []routing.Service{{Name: "board"}, {Name: "ledger"}}})
	assert.NilError(t, err)
	return tab
}

var board, ledger = routing.WeightedService{Service: "board", Weight: 1}, routing.WeightedService{Service: "ledger", Weight: 1}

// Guards against a shorter prefix that wins, and against a prefix that matches within a path segment.
func TestLookupPrefersLongestPrefix(t *testing.T) {
	tab := table(t, route("a.example", "/", board), route("a.example", "/x/", ledger), route("a.example", "/x/y/", board), route("b.example", "/x/", board))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "/x/y/"}, {"a.example", "/x/yy", "/x/"}, {"a.example", "/x", "/"}, {"A.example:80", "/x/", "/x/"},
		{"b.example", "/x/1", "/x/"}, {"b.example", "/y/", ""}, {"c.example", "/x/", ""},
	} {
		got := ""
		if r := tab.Lookup(c.host, c.path); r != nil {
			got = r.Key()[len("a.example"):]
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against shares that drift from the weights, also over a few requests.
func TestNextServiceFollowsWeights(t *testing.T) {
	tab := table(t, route("a.example", "/", routing.WeightedService{Service: "board", Weight: 90}, routing.WeightedService{Service: "ledger", Weight: 10}))
	r := tab.Lookup("a.example", "/")
	for run := range 20 {
		count := map[string]int{}
		for range 10 {
			count[r.NextService()]++
		}
		assert.Equal(t, count["ledger"], 1, "run %d: %v", run, count)
	}
}

// Guards against many nodes with a few requests each that all start with the same service, so that the shares over the
// fleet differ from the weights. This was seen with 90 nodes.
func TestManyNodesWithFewRequestsFollowWeights(t *testing.T) {
	const nodes, each = 300, 3
	for _, weights := range [][2]int{{50, 50}, {70, 30}, {90, 10}} {
		count := map[string]int{}
		for range nodes {
			r := table(t, route("a.example", "/", routing.WeightedService{Service: "board", Weight: weights[0]}, routing.WeightedService{Service: "ledger", Weight: weights[1]})).Lookup("a.example", "/")
			for range each {
				count[r.NextService()]++
			}
		}
		fraction := float64(count["ledger"]) / (nodes * each)
		want := float64(weights[1]) / 100
		assert.Assert(t, fraction > want-0.1 && fraction < want+0.1, "weight %v, share %v", want, fraction)
	}
}

// Guards against requests to a service with weight 0.
func TestNextServiceSkipsZeroWeight(t *testing.T) {
	r := table(t, route("a.example", "/", routing.WeightedService{Service: "board", Weight: 0}, ledger)).Lookup("a.example", "/")
	for range 10 {
		assert.Equal(t, r.NextService(), "ledger")
	}
}

// Guards against a table that fails at the first request instead of when it is built.
func TestNewReportsInvalidRoute(t *testing.T) {
	for want, change := range map[string]func(*routing.RouteSpec){
		"does not begin and end": func(r *routing.RouteSpec) { r.Prefix = "/x" },
		"timeout":                func(r *routing.RouteSpec) { r.Timeout = 0 },
		"attempt":                func(r *routing.RouteSpec) { r.MaxAttempts = 0 },
		"priority":               func(r *routing.RouteSpec) { r.Priority = -1 },
		"unknown service":        func(r *routing.RouteSpec) { r.Services = []routing.WeightedService{{Service: "none", Weight: 1}} },
		"negative weight":        func(r *routing.RouteSpec) { r.Services = []routing.WeightedService{{Service: "board", Weight: -1}} },
		"no service has":         func(r *routing.RouteSpec) { r.Services = []routing.WeightedService{{Service: "board"}} },
	} {
		r := route("a.example", "/x/", board)
		change(&r)
		_, err := routing.New(routing.Spec{Routes: []routing.RouteSpec{r}, Services: []routing.Service{{Name: "board"}}})
		assert.ErrorContains(t, err, want)
	}
}

func ExampleTable_Lookup() {
	t, _ := routing.New(routing.Spec{
		Version:  7,
		Services: []routing.Service{{Name: "board"}},
		Routes: []routing.RouteSpec{{
			Host: "quay.example", Prefix: "/sockets/", Timeout: time.Second, MaxAttempts: 2, Services: []routing.WeightedService{{Service: "board", Weight: 1}},
		}},
	})
	fmt.Println(t.Lookup("quay.example", "/sockets/17").NextService())
	// Output: board
}
