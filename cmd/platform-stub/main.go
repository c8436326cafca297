// Command platform-stub serves a stub of the platform's object API, for tests and the demo.
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

	"mustardmast/io/platform/stub"
)

type options struct {
	Listen string `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:0" description:"address to serve on; port 0 takes a free one"`
}

func main() {
	var o options
	if _, err := flags.ParseArgs(&o, normalizeFlags(os.Args[1:])); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := serve(o.Listen); err != nil {
		fmt.Fprintln(os.Stderr, "platform-stub:", err)
		os.Exit(1)
	}
}

// normalizeFlags rewrites -listen, as package flag accepts it, to --listen.
func normalizeFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] == 'l' {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

func serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: stub.New(), ReadHeaderTimeout: 10 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Waiting watches need no response, as the state of the stub ends with the process.
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	fmt.Printf("platform-stub listens on http://%s\n", l.Addr())
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}
