// Command measure compares the overload control of the core with its baselines; see package internal/measure.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"mustardmast/internal/measure"
)

type options struct {
	Seeds []uint64 `long:"seed" description:"seed of the arrivals; may be given several times"`
}

func main() {
	debug.SetGCPercent(400) // most allocations of a run stay live until its end
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if len(o.Seeds) == 0 {
		o.Seeds = measure.Seeds
	}
	short := 0
	for _, r := range measure.Run(os.Stdout, o.Seeds) {
		if !r.OK && r.Bound != "" {
			short++
		}
	}
	fmt.Printf("%d short\n", short)
}
