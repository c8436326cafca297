// Package soak runs property tests with a fixed seed by default, and with new seeds in soak tests.
//
// By default, results have to be reproducible, so Check uses a fixed seed. If the environment variable
// MUSTARDMAST_SOAK_SECONDS is set, each property is checked repeatedly for this number of seconds, with a new seed in
// each round. A failure prints its seed.
package soak

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// EnvVariable is the environment variable that sets for how many seconds each property is checked in a soak test.
const EnvVariable = "MUSTARDMAST_SOAK_SECONDS"

// HostsVariable is the environment variable that sets the number of hosts of a soak test that starts processes.
const HostsVariable = "MUSTARDMAST_SOAK_HOSTS"

// Hosts returns the number of hosts of a soak test that starts processes. It is usual unless HostsVariable is set.
func Hosts(usual int) int {
	n, err := strconv.Atoi(os.Getenv(HostsVariable))
	if err != nil || n <= 0 {
		return usual
	}
	return n
}

// Duration returns for how long each property is checked in a soak test, and 0 by default.
func Duration() time.Duration {
	n, err := strconv.Atoi(os.Getenv(EnvVariable))
	if err != nil {
		return 0
	}
	return time.Duration(max(n, 0)) * time.Second
}

// Check checks a property once, or repeatedly in a soak test.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	d := Duration()
	if d == 0 {
		check(t, 1, property)
		return
	}
	rounds := 0
	for end := time.Now().Add(d); time.Now().Before(end) && !t.Failed(); rounds++ {
		check(t, uint64(time.Now().UnixNano()), property)
	}
	t.Logf("%d rounds in %v", rounds, d)
}

// check runs one round. A seed given on the command line takes precedence, so that a failure can be reproduced.
func check(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		f := flag.Lookup("rapid.seed")
		old := f.Value.String()
		_ = f.Value.Set(strconv.FormatUint(seed, 10)) // flag.Set would mark the flag as given on the command line
		defer func() { _ = f.Value.Set(old) }()
	}
	rapid.Check(t, property)
}
