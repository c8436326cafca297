package sidecar_test

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/internal/soak"
)

// buildProgram builds the program of the nodes and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "mustardmast")
	out, err := exec.Command("go", "build", "-o", program, "mustardmast/cmd/mustardmast").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// runSeeds runs a test with the given seeds and, in a soak test, with new ones.
func runSeeds(t *testing.T, seeds []uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	newSeed := uint64(time.Now().UnixNano())
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { run(t, seed) })
	}
	for end := time.Now().Add(soak.Duration()); time.Now().Before(end) && !t.Failed(); {
		newSeed++
		t.Run(strconv.FormatUint(newSeed, 10), func(t *testing.T) { run(t, newSeed) })
	}
}
