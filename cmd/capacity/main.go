// Command capacity measures what control costs against the number of nodes and prints one line per budget of the
// target size: the budget, its limit, the figure, the margin and whether it holds.
//
// Membership and configuration run as whole fleets over an in-memory link in virtual time, so their figures at the
// target size are measured and not extrapolated, but for the processor time of sockets and codecs, which comes from a
// small fleet of real control planes over loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// line is one budget.
type line struct {
	budget string
	limit  float64
	figure float64
	unit   string
}

func (l line) String() string {
	verdict := "ok"
	if l.figure > l.limit {
		verdict = "short"
	}
	return fmt.Sprintf("| %s | %.4g %s | %.4g %s | %.0f%% | %s |",
		l.budget, l.limit, l.unit, l.figure, l.unit, 100*(1-l.figure/l.limit), verdict)
}

// role measures one part of the system.
type role struct {
	name    string
	measure func(o options) []line
}

type options struct {
	sizes []int
	mass  int // largest size for mass events
	seed  uint64
}

// upTo leaves out sizes above a limit.
func (o options) upTo(limit int) options {
	var kept []int
	for _, n := range o.sizes {
		if n <= limit {
			kept = append(kept, n)
		}
	}
	o.sizes = kept
	return o
}

const memoryLimit = 11 << 30

// target is the largest size that is measured.
func (o options) target() int { return o.sizes[len(o.sizes)-1] }

var roles = []role{
	{"memory", memory},
	{"quiet", quiet},
	{"shell", shell},
	{"changes", changes},
	{"domain", domain},
	{"partition", partition},
	{"platform", platform},
	{"text", text},
}

func main() {
	sizes := flag.String("sizes", "50,200,800,3800", "numbers of nodes, rising")
	only := flag.String("only", "", "roles to measure, separated by commas; all if empty")
	seed := flag.Uint64("seed", 1, "seed of everything random")
	mass := flag.Int("mass", 800, "largest size for the loss of a domain and for partitions; 3800 takes over ten minutes")
	flag.Parse()
	debug.SetMemoryLimit(memoryLimit) // the views of 3,800 nodes take about half of it
	o := options{seed: *seed, mass: *mass}
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			fmt.Fprintf(os.Stderr, "capacity: size %q is not a number\n", s)
			os.Exit(2)
		}
		o.sizes = append(o.sizes, n)
	}
	var lines []line
	for _, r := range roles {
		if *only == "" || strings.Contains(","+*only+",", ","+r.name+",") {
			fmt.Printf("== %s\n", r.name)
			began := time.Now()
			lines = append(lines, r.measure(o)...)
			fmt.Printf("(%s took %v)\n\n", r.name, time.Since(began).Round(time.Second))
		}
	}
	fmt.Println("| budget | limit | figure | margin | verdict |\n|---|---|---|---|---|")
	for _, l := range lines {
		fmt.Println(l)
	}
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes that live on the heap.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
