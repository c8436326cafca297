// Command demo runs a small deployment as separate processes: a stub of the platform, two failure domains with three
// nodes each, and the targets of a chain of three services. It kills a node, changes the configuration and stops a node
// as planned, and prints the outcomes of calls after each step.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mustardmast/internal/deploy"
)

const callsPerStep = 200

type options struct {
	Bin    string `long:"bin" default:"bin" description:"directory of the built programs"`
	Config string `long:"config" default:"examples/koper.json" description:"configuration text to apply"`
	Keep   bool   `long:"keep" description:"keep the directory with settings and logs"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "mustardmast-demo-")
	if err == nil {
		err = run(o, dir)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "demo: %v\nsettings and logs are in %s\n", err, dir)
		os.Exit(1)
	}
	if o.Keep {
		fmt.Println("settings and logs are in", dir)
	} else {
		_ = os.RemoveAll(dir) // a leftover temporary directory is harmless
	}
	fmt.Println("demo: ok")
}

// demo is the deployment and the outcomes that its callers received.
type demo struct {
	*deploy.Deployment
	o        options
	dir      string
	executed map[string]bool // ids of successful requests
}

func run(o options, dir string) error {
	dep, err := deploy.Start(deploy.Spec{
		Bin: o.Bin, Dir: dir, Delay: 2 * time.Millisecond,
		Domains: []deploy.Domain{{Name: "koper-a", IP: "127.0.0.1"}, {Name: "koper-b", IP: "127.0.0.1"}},
	})
	defer dep.KillAll()
	if err != nil {
		return err
	}
	d := &demo{Deployment: dep, o: o, dir: dir, executed: map[string]bool{}}
	if err := d.Apply(o.Config, 0, "first configuration"); err != nil {
		return err
	}
	if err := d.AwaitServing(20 * time.Second); err != nil {
		return err
	}
	fmt.Println("step                                  calls  ok  refused  unknown  p50      p99")
	steps := []struct {
		name string
		do   func() error
		ok   float64 // minimum fraction of calls that must succeed
	}{
		{"all nodes up", func() error { return nil }, 1},
		{"one node killed", d.killNode, 0.9},
		{"configuration changed", d.change, 1},
		{"one node stopped as planned", d.stopNode, 1},
	}
	for _, s := range steps {
		if err := s.do(); err != nil {
			return errors.Wrap(err, s.name)
		}
		r := d.load()
		fmt.Printf("%-36s %s\n", s.name, r)
		if float64(r.OK) < s.ok*float64(r.Calls) {
			return errors.Errorf("%s: %d of %d calls succeeded; want at least %.0f%%", s.name, r.OK, r.Calls, 100*s.ok)
		}
	}
	return d.check()
}

// load sends calls one after the other, through the nodes that are up in turn.
func (d *demo) load() *deploy.Summary {
	var up []*deploy.Host
	for _, h := range d.Hosts() {
		if !h.Stopped() {
			up = append(up, h)
		}
	}
	r := &deploy.Summary{}
	for i := range callsPerStep {
		s := deploy.Call(up[i%len(up)].CallerAddress, "/socket-board/assign", "container 7", nil)
		r.Add(s)
		if s.Status == http.StatusOK {
			d.executed[s.ID] = true
		}
	}
	return r
}

func (d *demo) killNode() error {
	h := d.Host("koper-b", "reefer-watch")
	h.Node.Kill()
	h.MarkStopped()
	return nil
}

func (d *demo) stopNode() error {
	h := d.Host("koper-b", "plug-ledger")
	h.MarkStopped()
	if code := h.Node.Stop(); code != 0 {
		return errors.Errorf("%s ended with exit code %d", h.Name, code)
	}
	return nil
}

// change raises the priority of one method and waits until every running node has the change in force.
func (d *demo) change() error {
	b, err := os.ReadFile(d.o.Config)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, "changed.json")
	text := strings.Replace(string(b), `"priority": "low"`, `"priority": "normal"`, 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if err := d.Apply(file, 1, "raise the priority of lists"); err != nil {
		return err
	}
	return d.AwaitGeneration(2, 8*time.Second)
}

// check compares the outcomes that callers received with the executions that the targets counted: each request is
// executed at most once, and a successful one exactly once.
func (d *demo) check() error {
	for _, service := range []string{"socket-board", "plug-ledger"} {
		ran, err := d.Executions(service)
		if err != nil {
			return err
		}
		for id, n := range ran {
			if n > 1 {
				return errors.Errorf("%s executed request %s %d times", service, id, n)
			}
		}
		for id := range d.executed {
			if service == "socket-board" && ran[id] != 1 {
				return errors.Errorf("request %s was reported as successful but was executed %d times", id, ran[id])
			}
		}
	}
	return nil
}
