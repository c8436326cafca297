package retry_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests, so that failures in CI are reproducible. The flag -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
