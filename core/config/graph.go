package config

import (
	"fmt"
	"strings"
)

// cycles reports every dependency that closes a cycle, and whether there was one. Each cycle is reported at the edge
// that leads back to a service on the current path.
func (v *validator) cycles() bool {
	const (
		unseen = iota
		open
		done
	)
	state := map[string]int{}
	var path []string
	found := false
	var visit func(name string)
	visit = func(name string) {
		state[name] = open
		path = append(path, name)
		for i, d := range v.edges(name) {
			if _, ok := v.known[d]; !ok {
				continue
			}
			switch state[d] {
			case unseen:
				visit(d)
			case open:
				found = true
				from := 0
				for path[from] != d {
					from++
				}
				v.fail(fmt.Sprintf("services.%s.depends-on[%d]", name, i), "dependency cycle "+chain(append(path[from:], d)),
					"dependencies without a cycle")
			}
		}
		path = path[:len(path)-1]
		state[name] = done
	}
	for _, s := range v.spec.Services {
		if state[s.Name] == unseen {
			visit(s.Name)
		}
	}
	return found
}

// depths reports chains that a call could not follow to their end. Only services that nothing depends on are
// reported, because the chains below them are parts of theirs. The graph has no cycle.
func (v *validator) depths() {
	most := v.spec.Limits.MaxDepth
	if most < 1 || most > MaxMaxDepth {
		return // reported as out of bounds
	}
	depth, next, called := map[string]int{}, map[string]string{}, map[string]bool{}
	var measure func(name string) int
	measure = func(name string) int {
		if d := depth[name]; d > 0 {
			return d
		}
		deepest := 0
		for _, d := range v.edges(name) {
			if _, ok := v.known[d]; !ok {
				continue
			}
			called[d] = true
			if n := measure(d); n > deepest {
				deepest, next[name] = n, d
			}
		}
		depth[name] = deepest + 1
		return deepest + 1
	}
	for _, s := range v.spec.Services {
		measure(s.Name)
	}
	for _, s := range v.spec.Services {
		if depth[s.Name] <= most || called[s.Name] {
			continue
		}
		names := []string{s.Name}
		for n := next[s.Name]; n != ""; n = next[n] {
			names = append(names, n)
		}
		v.fail("services."+s.Name+".depends-on", fmt.Sprintf("the chain %s is %d deep", chain(names), len(names)),
			fmt.Sprintf("at most limits.max-depth = %d", most))
	}
}

// chain writes services as a path. The middle of a long path is left out, because paths can be as long as the text.
func chain(names []string) string {
	const most = 40
	if len(names) <= most {
		return strings.Join(names, " -> ")
	}
	return strings.Join(names[:most/2], " -> ") + " -> ... -> " + strings.Join(names[len(names)-most/2:], " -> ")
}

// edges returns the dependencies up to the bound. More are reported as too many.
func (v *validator) edges(name string) []string {
	d := v.known[name].DependsOn
	return d[:min(len(d), MaxDependencies)]
}
