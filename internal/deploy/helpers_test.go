package deploy_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/internal/deploy"
)

// startDeployment starts a deployment of two domains with generation 1 in force. If change is not nil, it may modify
// the Spec.
func startDeployment(t *testing.T, change func(s *deploy.Spec)) *deploy.Deployment {
	s := deploy.Spec{
		Bin: bin, Dir: t.TempDir(), Delay: 3 * time.Millisecond,
		Domains: []deploy.Domain{{Name: "koper-a", IP: "127.0.1.1"}, {Name: "koper-b", IP: "127.0.2.1"}},
	}
	if change != nil {
		change(&s)
	}
	d, err := deploy.Start(s)
	t.Cleanup(func() {
		d.KillAll()
		if t.Failed() {
			for _, h := range d.Hosts() {
				b, _ := os.ReadFile(filepath.Join(s.Dir, h.Name+".log"))
				lines := strings.Split(string(b), "\n")
				for _, l := range lines[max(0, len(lines)-8):] {
					t.Logf("%s %.300s", h.Name, l)
				}
			}
		}
	})
	assert.NilError(t, err)
	assert.NilError(t, d.Apply("../../examples/koper.json", 0, "first"))
	assert.NilError(t, d.AwaitServing(30*time.Second))
	return d
}

// runCLI runs the mustardmast command and returns its standard output and exit code.
func runCLI(args ...string) (string, int) {
	var out bytes.Buffer
	c := exec.Command(filepath.Join(bin, "mustardmast"), args...)
	c.Stdout = &out
	_ = c.Run()
	return out.String(), c.ProcessState.ExitCode()
}

// nodeOptions returns the --node options for all hosts.
func nodeOptions(d *deploy.Deployment) []string {
	var a []string
	for _, h := range d.Hosts() {
		a = append(a, "--node", h.AdminAddress)
	}
	return a
}

// setPlatformFaults changes the faults of the platform stub.
func setPlatformFaults(t *testing.T, d *deploy.Deployment, format string, args ...any) {
	t.Helper()
	q, err := http.NewRequest(http.MethodPut, d.Platform()+"/stub/v1/faults", strings.NewReader(fmt.Sprintf(format, args...)))
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	_ = res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

// getJSON fetches a JSON value and decodes it into v.
func getJSON(url string, v any) error {
	c := http.Client{Timeout: 2 * time.Second}
	res, err := c.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}
