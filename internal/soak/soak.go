// Package soak runs property tests with fixed seeds in the ordinary checks and with new seeds in long runs.
//
// The ordinary checks have to give the same result for the same code, so Check uses one seed there. When the
// environment variable MUSTARDMAST_SOAK_SECONDS is set, each property is checked again and again, with a new seed each
// time, until the seconds are used up. A failure prints its seed.
package soak

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// EnvVariable is the environment variable that sets the length of a long run.
const EnvVariable = "MUSTARDMAST_SOAK_SECONDS"

// Duration returns how long each property is checked, and 0 outside of long runs.
func Duration() time.Duration {
	n, err := strconv.Atoi(os.Getenv(EnvVariable))
	if err != nil {
		return 0
	}
	return time.Duration(max(n, 0)) * time.Second
}

// Check checks a property.
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

// check runs one round. A seed given on the command line takes precedence, to repeat a failure.
func check(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		f := flag.Lookup("rapid.seed")
		old := f.Value.String()
		_ = f.Value.Set(strconv.FormatUint(seed, 10)) // not flag.Set, which would count as given
		defer func() { _ = f.Value.Set(old) }()
	}
	rapid.Check(t, property)
}
