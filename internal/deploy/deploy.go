// Package deploy runs a small deployment as separate processes: a stub of the platform, nodes, and stub targets. The
// demo and the failure tests use it.
//
// The call chain is that of the Koper example: socket-board/assign calls plug-ledger/record, which calls
// reefer-watch/register. Each failure domain has one host for each service.
package deploy

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mustardmast/internal/freeport"
)

// Services lists the services of the call chain, the entry service first.
var Services = []string{"socket-board", "plug-ledger", "reefer-watch"}

// NextCall maps a service to the sub-call that its target makes, as service/method:call-key.
var NextCall = map[string]string{
	"socket-board": "plug-ledger/record:record",
	"plug-ledger":  "reefer-watch/register:register",
}

// Method returns the method of a service that belongs to the call chain.
func Method(service string) string {
	switch service {
	case "socket-board":
		return "assign"
	case "plug-ledger":
		return "record"
	default:
		return "register"
	}
}

// Domain is a failure domain. All of its hosts listen on the address IP; with an IP for each domain, a relay can
// identify the domain that traffic comes from.
type Domain struct{ Name, IP string }

// Spec describes a deployment.
type Spec struct {
	Bin     string // directory of the programs
	Dir     string // for settings and logs
	Domains []Domain
	Delay   time.Duration // execution time of each call at its target, without sub-calls
	// StartTarget, if not nil, starts the target of a host in the calling process and returns its address. By default,
	// a target-stub process is started.
	StartTarget func(h *Host) (string, error)
	// Relay, if not nil, returns the address at which other nodes reach the node of the given domain that listens on
	// peer. By default, that is peer itself.
	Relay func(domain, peer string) (string, error)
	// PlatformURL, if not nil, returns the URL at which nodes of a domain reach the platform that listens at url. By
	// default, that is url itself.
	PlatformURL func(domain, url string) (string, error)
}

// Host is a node and its target.
type Host struct {
	Name, Domain, Service                    string
	CallerAddress, PeerAddress, AdminAddress string
	TargetAddress                            string
	Node, TargetProcess                      *Process
	settingsFile                             string
	stopped                                  bool
}

// Stopped reports whether the host's node was stopped on purpose.
func (h *Host) Stopped() bool { return h.stopped }

// MarkStopped records that the host's node was stopped on purpose, so that no configuration or response is awaited
// from it.
func (h *Host) MarkStopped() { h.stopped = true }

// Deployment is a running platform stub with nodes and targets.
type Deployment struct {
	spec      Spec
	processes *processes
	platform  string
	hosts     []*Host
}

// Start starts the platform stub and all hosts. KillAll must be called, also after an error.
func Start(s Spec) (*Deployment, error) {
	d := &Deployment{spec: s, processes: &processes{bin: s.Bin, dir: s.Dir}}
	_, line, err := d.processes.start("platform", "platform-stub", true, "--listen", "127.0.0.1:0")
	if err != nil {
		return d, err
	}
	d.platform = "http://" + listenAddress(line)
	for _, domain := range s.Domains {
		for _, service := range Services {
			if err := d.add(domain, service); err != nil {
				return d, err
			}
		}
	}
	return d, nil
}

// KillAll kills all processes.
func (d *Deployment) KillAll() { d.processes.killAll() }

// Hosts returns all hosts, grouped by domain and in the order of Services.
func (d *Deployment) Hosts() []*Host { return d.hosts }

// Host returns the host of a service in a domain, or nil.
func (d *Deployment) Host(domain, service string) *Host {
	for _, h := range d.hosts {
		if h.Domain == domain && h.Service == service {
			return h
		}
	}
	return nil
}

// Platform returns the base URL of the platform stub.
func (d *Deployment) Platform() string { return d.platform }

func (d *Deployment) add(domain Domain, service string) error {
	ports, err := freeport.Addresses(domain.IP, 3)
	if err != nil {
		return err
	}
	h := &Host{Name: domain.Name + "-" + service, Domain: domain.Name, Service: service, CallerAddress: ports[0], AdminAddress: ports[2]}
	h.PeerAddress = ports[1]
	if d.spec.Relay != nil {
		if h.PeerAddress, err = d.spec.Relay(domain.Name, ports[1]); err != nil {
			return err
		}
	}
	platform := d.platform
	if d.spec.PlatformURL != nil {
		if platform, err = d.spec.PlatformURL(domain.Name, platform); err != nil {
			return err
		}
	}
	d.hosts = append(d.hosts, h)
	b, err := json.MarshalIndent(map[string]any{
		"name": h.Name, "failure-domain": domain.Name, "region": "koper", "caller-address": h.CallerAddress, "peer-address": h.PeerAddress,
		"peer-listen-address": ports[1], "admin-address": h.AdminAddress, "platform-url": platform, "drain-timeout": "10s",
		"seeds": []string{d.hosts[0].PeerAddress},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	h.settingsFile = filepath.Join(d.spec.Dir, h.Name+".json")
	if err := os.WriteFile(h.settingsFile, b, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := d.StartNode(h); err != nil {
		return err
	}
	return d.StartTarget(h)
}

// StartNode starts the host's node, or restarts it after it has exited.
func (d *Deployment) StartNode(h *Host) (err error) {
	h.stopped = false
	h.Node, _, err = d.processes.start(h.Name, "mustardmast", false, "node", "--settings", h.settingsFile)
	return err
}

// StartTarget starts the host's target, or restarts it after it has exited.
func (d *Deployment) StartTarget(h *Host) error {
	if d.spec.StartTarget != nil {
		a, err := d.spec.StartTarget(h)
		h.TargetAddress = a
		return err
	}
	args := []string{"--service", h.Service, "--admin", "http://" + h.AdminAddress, "--node", "http://" + h.CallerAddress,
		"--delay", d.spec.Delay.String()}
	if n := NextCall[h.Service]; n != "" {
		args = append(args, "--call", n)
	}
	p, line, err := d.processes.start(h.Name+"-target", "target-stub", true, args...)
	h.TargetProcess, h.TargetAddress = p, listenAddress(line)
	return err
}

// CLI runs the mustardmast command with the given arguments and returns its output.
func (d *Deployment) CLI(args ...string) (string, error) {
	var out bytes.Buffer
	c := exec.Command(filepath.Join(d.spec.Bin, "mustardmast"), args...)
	c.Stdout, c.Stderr = &out, &out
	err := c.Run()
	return out.String(), errors.Wrapf(err, "mustardmast %s: %s", strings.Join(args, " "), out.String())
}

// Apply applies the configuration text in file on top of the expected generation; 0 stands for the first text, which
// is applied without querying nodes for their generation. Nodes that are marked as stopped are not queried.
func (d *Deployment) Apply(file string, expected uint64, why string) error {
	args := []string{"apply", "--platform", d.platform, "--expect", strconv.FormatUint(expected, 10), "--who", "demo", "--why", why}
	if expected == 0 {
		args = append(args, "--no-fleet")
	}
	for _, h := range d.hosts {
		if expected > 0 && !h.stopped {
			args = append(args, "--node", h.AdminAddress)
		}
	}
	_, err := d.CLI(append(args, file)...)
	return err
}

// AwaitServing waits until every host that is not stopped serves a call of its own service.
func (d *Deployment) AwaitServing(timeout time.Duration) error {
	return Await(timeout, func() error {
		for _, h := range d.hosts {
			if h.stopped {
				continue
			}
			if c := Call(h.CallerAddress, "/"+h.Service+"/"+Method(h.Service), "container 7", nil); c.Status != http.StatusOK {
				return errors.Errorf("%s responded with %d: %s", h.Name, c.Status, c.Text)
			}
		}
		return nil
	})
}

// Generation returns the generation of the configuration that a host has in force.
func (d *Deployment) Generation(h *Host) (uint64, error) {
	out, err := get("http://" + h.AdminAddress + "/v1/status")
	if err != nil {
		return 0, err
	}
	var s struct {
		Generation uint64 `json:"generation"`
	}
	return s.Generation, errors.Wrap(json.Unmarshal(out, &s), "status")
}

// AwaitGeneration waits until every host that is not stopped has the given generation in force.
func (d *Deployment) AwaitGeneration(want uint64, timeout time.Duration) error {
	return Await(timeout, func() error {
		for _, h := range d.hosts {
			if h.stopped {
				continue
			}
			if g, err := d.Generation(h); err != nil || g != want {
				return errors.Errorf("%s has generation %d in force, want %d (%v)", h.Name, g, want, err)
			}
		}
		return nil
	})
}

// Executions returns how often each request id was executed by the targets of a service, as counted by those targets
// that still run.
func (d *Deployment) Executions(service string) (map[string]int, error) {
	sum := map[string]int{}
	for _, h := range d.hosts {
		if h.Service != service || h.TargetProcess == nil || h.TargetProcess.Exited() {
			continue
		}
		b, err := get("http://" + h.TargetAddress + "/stub/v1/executions")
		if err != nil {
			return nil, err
		}
		var m map[string]int
		if err := json.Unmarshal(b, &m); err != nil {
			return nil, errors.Wrap(err, "executions")
		}
		for id, n := range m {
			sum[id] += n
		}
	}
	return sum, nil
}

func get(url string) ([]byte, error) {
	c := http.Client{Timeout: 2 * time.Second}
	res, err := c.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return b, errors.Wrap(err, "read")
}

// Post sends a JSON body to a control endpoint of a stub. It returns an error if the status is 400 or above.
func Post(url, body string) error {
	res, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s: %s", url, res.Status)
	}
	return nil
}

// Await calls f every 50 ms until it succeeds. After the timeout it returns the last error.
func Await(timeout time.Duration, f func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "condition not met within %s", timeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
