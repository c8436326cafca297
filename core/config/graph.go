package config

import (
	"fmt"
	"strings"
)

// checkCycles reports every dependency that closes a cycle, and returns whether there is one. Each cycle is reported at
// the edge that leads back to a service on the current path.
func (v *validator) checkCycles() bool {
	const (
		unvisited = iota
		onPath
		done
	)
	state := map[string]int{}
	var path []string
	found := false
	var visit func(name string)
	visit = func(name string) {
		state[name] = onPath
		path = append(path, name)
		for i, d := range v.dependencies(name) {
			if _, ok := v.known[d]; !ok {
				continue
			}
			switch state[d] {
			case unvisited:
				visit(d)
			case onPath:
				found = true
				from := 0
				for path[from] != d {
					from++
				}
				v.addFault(fmt.Sprintf("services.%s.depends-on[%d]", name, i), "dependency cycle "+formatChain(append(path[from:], d)),
					"dependencies without a cycle")
			}
		}
		path = path[:len(path)-1]
		state[name] = done
	}
	for _, s := range v.spec.Services {
		if state[s.Name] == unvisited {
			visit(s.Name)
		}
	}
	return found
}

// checkDepths reports dependency chains that are longer than the maximum call depth. Only services that no other
// service depends on are reported, as the chains below them are parts of theirs. The graph must have no cycles.
func (v *validator) checkDepths() {
	maxDepth := v.spec.Limits.MaxDepth
	if maxDepth < 1 || maxDepth > MaxMaxDepth {
		return // reported by checkLimits
	}
	depth, next, called := map[string]int{}, map[string]string{}, map[string]bool{}
	var measure func(name string) int
	measure = func(name string) int {
		if d := depth[name]; d > 0 {
			return d
		}
		deepest := 0
		for _, d := range v.dependencies(name) {
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
		if depth[s.Name] <= maxDepth || called[s.Name] {
			continue
		}
		names := []string{s.Name}
		for n := next[s.Name]; n != ""; n = next[n] {
			names = append(names, n)
		}
		v.addFault("services."+s.Name+".depends-on", fmt.Sprintf("the chain %s is %d deep", formatChain(names), len(names)),
			fmt.Sprintf("at most limits.max-depth = %d", maxDepth))
	}
}

// formatChain formats services as a path. It omits the middle of a long path, because a path can be as long as the
// configuration.
func formatChain(names []string) string {
	const maxNames = 40
	if len(names) <= maxNames {
		return strings.Join(names, " -> ")
	}
	return strings.Join(names[:maxNames/2], " -> ") + " -> ... -> " + strings.Join(names[len(names)-maxNames/2:], " -> ")
}

// dependencies returns the dependencies of a service up to MaxDependencies. Any excess is reported by checkService.
func (v *validator) dependencies(name string) []string {
	d := v.known[name].DependsOn
	return d[:min(len(d), MaxDependencies)]
}
