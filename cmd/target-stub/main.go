// Command target-stub runs a stub of a target, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mustardmast/io/target/stub"
)

type options struct {
	Service string        `long:"service" required:"true" description:"service that the target serves"`
	Listen  string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Admin   string        `long:"admin" required:"true" description:"base URL of the node's admin address"`
	Node    string        `long:"node" required:"true" description:"base URL of the node's caller address"`
	Calls   []string      `long:"call" description:"next call of the chain, service/method or service/method:call-key; repeatable"`
	Slots   int           `long:"slots" default:"100" description:"calls that the target runs at a time"`
	Delay   time.Duration `long:"delay" description:"work time of each call"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "target-stub:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	t := stub.New(stub.Spec{
		Service: o.Service, Address: l.Addr().String(), Slots: o.Slots, AdminURL: o.Admin, NodeURL: o.Node, Calls: o.Calls,
		Delay: o.Delay, Crash: func() { os.Exit(3) },
	})
	s := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go t.Run(ctx)
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	fmt.Println("target-stub listens on", l.Addr())
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}
