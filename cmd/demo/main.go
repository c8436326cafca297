// Command demo runs a small deployment as separate processes and shows what callers see: the platform stand-in, two
// failure domains with three nodes each, the targets of a chain of three services, a change of the configuration, and a
// killed node.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

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
		_ = os.RemoveAll(dir) // a directory that stays does no harm
	}
	fmt.Println("demo: ok")
}

func run(o options, dir string) error {
	d := &deployment{processes: &processes{bin: o.Bin, dir: dir}, dir: dir}
	defer d.processes.end()
	if err := d.start(); err != nil {
		return err
	}
	fmt.Println("step                                  calls  ok  refused  unknown  p50      p99")
	if err := d.apply(o.Config, "0", "first configuration"); err != nil {
		return err
	}
	if err := d.awaitServing(20 * time.Second); err != nil {
		return err
	}
	steps := []struct {
		name string
		do   func() error
		ok   float64 // least share of calls that must succeed
	}{
		{"all nodes up", func() error { return nil }, 1},
		{"one node killed", d.killNode, 0.9},
		{"configuration changed", func() error { return d.applyChange(o.Config) }, 1},
		{"one node stopped as planned", d.stopNode, 1},
	}
	for _, s := range steps {
		if err := s.do(); err != nil {
			return errors.Wrap(err, s.name)
		}
		r := d.load(200)
		fmt.Printf("%-36s %s\n", s.name, r)
		if float64(r.ok) < s.ok*float64(r.calls) {
			return errors.Errorf("%s: %d of %d calls succeeded; at least %.0f%% must", s.name, r.ok, r.calls, 100*s.ok)
		}
	}
	return d.checkExecutions()
}
