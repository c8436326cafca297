// Command mustardmast runs a node and is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"mustardmast/daemon"
	"mustardmast/io/settings"
)

// nodeCommand runs a node.
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

func main() {
	p := flags.NewNamedParser("mustardmast", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddCommand("node", "Run a node", "Runs the node of this host until SIGTERM, then stops gracefully.", &nodeCommand{}); err != nil {
		panic(err)
	}
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "mustardmast:", err)
		os.Exit(1)
	}
}
