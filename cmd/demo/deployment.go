package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// service is one service of the chain in the demo.
type service struct{ name, next string }

var services = []service{
	{"socket-board", "plug-ledger/record:record"},
	{"plug-ledger", "reefer-watch/register:register"},
	{"reefer-watch", ""},
}

// host is one node and its target.
type host struct {
	name, service, caller, peer, admin string
	node                               *process
	target                             string // address
	gone                               bool
}

// deployment is all that runs.
type deployment struct {
	processes *processes
	dir       string
	platform  string
	hosts     []*host
	accepted  map[string]bool // request ids whose callers were told executed
}

func (d *deployment) start() error {
	d.accepted = map[string]bool{}
	_, line, err := d.processes.start("platform", "platform-stub", "--listen", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.platform = "http://" + lastWord(line)
	ports, err := freePorts(2 * len(services) * 3)
	if err != nil {
		return err
	}
	for _, domain := range []string{"koper-a", "koper-b"} {
		for _, s := range services {
			h := &host{name: domain + "-" + s.name, service: s.name, caller: ports[0], peer: ports[1], admin: ports[2]}
			ports = ports[3:]
			d.hosts = append(d.hosts, h)
			if err := d.startHost(h, domain, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *deployment) startHost(h *host, domain string, s service) error {
	set := map[string]any{
		"name": h.name, "failure-domain": domain, "region": "koper", "caller-address": h.caller, "peer-address": h.peer,
		"admin-address": h.admin, "platform-url": d.platform, "drain-timeout": "10s",
		"seeds": []string{d.hosts[0].peer},
	}
	b, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, h.name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	if h.node, _, err = d.processes.start(h.name, "mustardmast", "node", "--settings", file); err != nil {
		return err
	}
	args := []string{"--service", s.name, "--admin", "http://" + h.admin, "--node", "http://" + h.caller, "--delay", "2ms"}
	if s.next != "" {
		args = append(args, "--call", s.next)
	}
	_, line, err := d.processes.start(h.name+"-target", "target-stub", args...)
	h.target = lastWord(line)
	return err
}

// cli runs a command of the real command line.
func (d *deployment) cli(args ...string) (string, error) {
	var out bytes.Buffer
	c := exec.Command(filepath.Join(d.processes.bin, "mustardmast"), args...)
	c.Stdout, c.Stderr = &out, &out
	err := c.Run()
	return out.String(), errors.Wrapf(err, "mustardmast %s: %s", strings.Join(args, " "), out.String())
}

func (d *deployment) apply(file, expected, why string) error {
	args := []string{"apply", "--platform", d.platform, "--expect", expected, "--who", "demo", "--why", why}
	if expected == "0" {
		args = append(args, "--no-fleet")
	} else {
		args = append(args, "--node", d.hosts[0].admin)
	}
	_, err := d.cli(append(args, file)...)
	return err
}

// applyChange raises the priority of one method and waits until every node has it in force.
func (d *deployment) applyChange(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	changed := filepath.Join(d.dir, "changed.json")
	text := strings.Replace(string(b), `"priority": "low"`, `"priority": "normal"`, 1)
	if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
		return err
	}
	if err := d.apply(changed, "1", "lists matter more"); err != nil {
		return err
	}
	return d.awaitGeneration("2", 8*time.Second)
}

// awaitServing waits until every host serves the whole chain.
func (d *deployment) awaitServing(most time.Duration) error {
	return await(most, func() error {
		for _, h := range d.hosts {
			if c := callOnce(h.caller, "/"+h.service+"/"+method(h.service), nil); c.status != http.StatusOK {
				return errors.Errorf("%s answers %d: %s", h.name, c.status, c.text)
			}
		}
		return nil
	})
}

func (d *deployment) awaitGeneration(want string, most time.Duration) error {
	return await(most, func() error {
		for _, h := range d.hosts {
			if h.gone {
				continue
			}
			out, err := d.cli("status", "--node", h.admin, "--output", "json")
			if err != nil {
				return err
			}
			if !strings.Contains(out, `"generation": `+want) && !strings.Contains(out, `"generation":`+want) {
				return errors.Errorf("%s has not generation %s in force: %s", h.name, want, out)
			}
		}
		return nil
	})
}

func await(most time.Duration, f func() error) error {
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

// killNode kills a node that callers do not talk to directly.
func (d *deployment) killNode() error {
	h := d.hosts[len(d.hosts)-1]
	h.node.kill()
	h.gone = true
	return nil
}

// stopNode stops a node as planned and checks that it ends by itself.
func (d *deployment) stopNode() error {
	h := d.hosts[len(d.hosts)-2]
	h.gone = true
	if code := h.node.stop(); code != 0 {
		return errors.Errorf("%s ended with exit code %d", h.name, code)
	}
	return nil
}

// checkExecutions compares what callers were told with what the targets counted.
func (d *deployment) checkExecutions() error {
	ran := map[string]int{}
	for _, h := range d.hosts {
		res, err := http.Get("http://" + h.target + "/stub/v1/executions")
		if err != nil {
			return err
		}
		b, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return err
		}
		var m map[string]int
		if err := json.Unmarshal(b, &m); err != nil {
			return err
		}
		for id, n := range m {
			ran[h.service+" "+id] += n
		}
	}
	for k, n := range ran {
		if n > 1 && !strings.HasPrefix(k, "reefer-watch ") { // its only method is idempotent
			return errors.Errorf("%s ran %d times", k, n)
		}
	}
	for id := range d.accepted {
		if ran["socket-board "+id] != 1 {
			return errors.Errorf("request %s was answered as executed and ran %d times", id, ran["socket-board "+id])
		}
	}
	return nil
}
