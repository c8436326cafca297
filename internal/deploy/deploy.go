// Package deploy runs a small deployment as separate processes: the platform stand-in, nodes, and target stand-ins. The
// demo and the tests of failures use it.
//
// The chain is that of the Koper example: socket-board/assign calls plug-ledger/record, which calls
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
)

// Services is the chain, the entry first.
var Services = []string{"socket-board", "plug-ledger", "reefer-watch"}

// NextCall is the call that the target of a service makes.
var NextCall = map[string]string{
	"socket-board": "plug-ledger/record:record",
	"plug-ledger":  "reefer-watch/register:register",
}

// Method returns the method of a service that the chain calls.
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

// Domain is one failure domain. Its hosts listen on an address of their own, so that a relay can tell domains apart.
type Domain struct{ Name, IP string }

// Spec describes a deployment.
type Spec struct {
	Bin     string // directory of the programs
	Dir     string // for settings and logs
	Domains []Domain
	Delay   time.Duration // work time of each target
	// StartTarget starts the target of a host inside the calling process and returns its address; nil starts target-stub.
	StartTarget func(h *Host) (string, error)
	// Relay returns the address that other nodes use for a node that listens on peer; nil means peer itself.
	Relay func(domain, peer string) (string, error)
	// PlatformURL is what nodes of a domain use for the platform at url; nil means url itself.
	PlatformURL func(domain, url string) (string, error)
}

// Host is one node and its target.
type Host struct {
	Name, Domain, Service                    string
	CallerAddress, PeerAddress, AdminAddress string
	TargetAddress                            string // address
	Node, TargetProcess                      *Process
	settings                                 string
	gone                                     bool
}

// Stopped reports whether the host's node was ended on purpose.
func (h *Host) Stopped() bool { return h.gone }

// MarkStopped says that the host's node was ended on purpose.
func (h *Host) MarkStopped() { h.gone = true }

// Deployment is all that runs.
type Deployment struct {
	spec      Spec
	processes *processes
	platform  string
	hosts     []*Host
}

// Start starts everything. KillAll must be called, also after an error.
func Start(s Spec) (*Deployment, error) {
	d := &Deployment{spec: s, processes: &processes{bin: s.Bin, dir: s.Dir}}
	_, line, err := d.processes.start("platform", "platform-stub", true, "--listen", "127.0.0.1:0")
	if err != nil {
		return d, err
	}
	d.platform = "http://" + lastWord(line)
	for _, dom := range s.Domains {
		for _, sv := range Services {
			if err := d.add(dom, sv); err != nil {
				return d, err
			}
		}
	}
	return d, nil
}

// KillAll kills everything.
func (d *Deployment) KillAll() { d.processes.end() }

// Hosts returns all hosts, domain by domain in the order of Services.
func (d *Deployment) Hosts() []*Host { return d.hosts }

// Host returns the host of a service in a domain.
func (d *Deployment) Host(domain, service string) *Host {
	for _, h := range d.hosts {
		if h.Domain == domain && h.Service == service {
			return h
		}
	}
	return nil
}

// Platform returns the base URL of the platform stand-in.
func (d *Deployment) Platform() string { return d.platform }

func (d *Deployment) add(dom Domain, service string) error {
	ports, err := freePorts(dom.IP, 3)
	if err != nil {
		return err
	}
	h := &Host{Name: dom.Name + "-" + service, Domain: dom.Name, Service: service, CallerAddress: ports[0], AdminAddress: ports[2]}
	h.PeerAddress = ports[1]
	if d.spec.Relay != nil {
		if h.PeerAddress, err = d.spec.Relay(dom.Name, ports[1]); err != nil {
			return err
		}
	}
	platform := d.platform
	if d.spec.PlatformURL != nil {
		if platform, err = d.spec.PlatformURL(dom.Name, platform); err != nil {
			return err
		}
	}
	d.hosts = append(d.hosts, h)
	b, err := json.MarshalIndent(map[string]any{
		"name": h.Name, "failure-domain": dom.Name, "region": "koper", "caller-address": h.CallerAddress, "peer-address": h.PeerAddress,
		"peer-listen-address": ports[1], "admin-address": h.AdminAddress, "platform-url": platform, "drain-timeout": "10s",
		"seeds": []string{d.hosts[0].PeerAddress},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	h.settings = filepath.Join(d.spec.Dir, h.Name+".json")
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := d.StartNode(h); err != nil {
		return err
	}
	return d.StartTarget(h)
}

// StartNode starts the host's node, also again after it has ended.
func (d *Deployment) StartNode(h *Host) (err error) {
	h.gone = false
	h.Node, _, err = d.processes.start(h.Name, "mustardmast", false, "node", "--settings", h.settings)
	return err
}

// StartTarget starts the host's target, also again after it has ended.
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
	h.TargetProcess, h.TargetAddress = p, lastWord(line)
	return err
}

// CLI runs a command of the command line and returns what it printed.
func (d *Deployment) CLI(args ...string) (string, error) {
	var out bytes.Buffer
	c := exec.Command(filepath.Join(d.spec.Bin, "mustardmast"), args...)
	c.Stdout, c.Stderr = &out, &out
	err := c.Run()
	return out.String(), errors.Wrapf(err, "mustardmast %s: %s", strings.Join(args, " "), out.String())
}

// Apply puts the text in file in force. The nodes asked for their generation are those that run.
func (d *Deployment) Apply(file string, expected uint64, why string) error {
	args := []string{"apply", "--platform", d.platform, "--expect", strconv.FormatUint(expected, 10), "--who", "demo", "--why", why}
	if expected == 0 {
		args = append(args, "--no-fleet")
	}
	for _, h := range d.hosts {
		if expected > 0 && !h.gone {
			args = append(args, "--node", h.AdminAddress)
		}
	}
	_, err := d.CLI(append(args, file)...)
	return err
}

// AwaitServing waits until every host serves its part of the chain.
func (d *Deployment) AwaitServing(most time.Duration) error {
	return Await(most, func() error {
		for _, h := range d.hosts {
			if h.gone {
				continue
			}
			if c := Call(h.CallerAddress, "/"+h.Service+"/"+Method(h.Service), "container 7", nil); c.Status != http.StatusOK {
				return errors.Errorf("%s answers %d: %s", h.Name, c.Status, c.Text)
			}
		}
		return nil
	})
}

// Generation returns the generation that a host has in force.
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

// AwaitGeneration waits until all hosts that run have the generation in force.
func (d *Deployment) AwaitGeneration(want uint64, most time.Duration) error {
	return Await(most, func() error {
		for _, h := range d.hosts {
			if h.gone {
				continue
			}
			if g, err := d.Generation(h); err != nil || g != want {
				return errors.Errorf("%s has generation %d in force, want %d (%v)", h.Name, g, want, err)
			}
		}
		return nil
	})
}

// Executions returns how often each request id was executed by the targets of a service, as the running targets
// count.
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

// Post sends a body to a stand-in's own path.
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

// Await repeats f until it succeeds.
func Await(most time.Duration, f func() error) error {
	end := time.Now().Add(most)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "not within %s", most)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
