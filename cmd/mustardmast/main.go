// Command mustardmast runs a node and provides the command line of operators.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mustardmast/daemon"
	"mustardmast/io/cli"
	"mustardmast/io/settings"
	"mustardmast/io/tick"
	"mustardmast/platform"
	"mustardmast/sidecar"
)

// version is set at build time with -ldflags.
var version = ""

// nodeCommand runs a node with the settings in a JSON file.
type nodeCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings of this process"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	d, err := daemon.Build(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return d.Run(ctx)
}

// sidecarCommand runs a node as a sidecar on the users' platform, with the settings file that the platform writes.
type sidecarCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file that the platform writes for this process; without it, the platform's variable in the environment names the file"`
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	if c.Settings == "" {
		return errors.Errorf("no settings file: give --settings or set %s", platform.SettingsVariable)
	}
	s, err := sidecar.New(c.Settings)
	if err != nil {
		return err
	}
	log.SetFlags(0)
	log.SetOutput(s.LibraryLog())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return s.Run(ctx, reload)
}

// globals are the options that need no command.
type globals struct {
	Version func() `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	t := tick.New()
	defer t.Close()
	env := cli.ProcessEnv(t)
	g := globals{Version: func() {
		fmt.Println("mustardmast", versionText())
		os.Exit(cli.ExitOK)
	}}
	p := flags.NewParser(&g, flags.HelpFlag|flags.PassDoubleDash)
	_, err := p.AddCommand("node", "Run a node",
		"Runs the node of this host until SIGTERM. Then it refuses new calls, finishes those in flight within the drain timeout, and ends.",
		&nodeCommand{})
	if err == nil {
		_, err = p.AddCommand("sidecar", "Run a node on the platform",
			"Runs the node beside the target of this host until SIGTERM, with the settings file of the platform. SIGHUP reads the file again.",
			&sidecarCommand{})
	}
	if err == nil {
		err = cli.AddCommands(p, env)
	}
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	return cli.Finish(env, err)
}

func versionText() string {
	if version != "" {
		return version
	}
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version
	}
	return "unknown"
}
