// Command capacity measures the cost of the control plane by number of nodes and prints one line for each budget at the
// target size: the budget, its limit, the measured value, the margin and whether the budget is met.
//
// Membership and the distribution of configurations are simulated for whole fleets over an in-memory network in virtual
// time, so their costs at the target size are measured, not extrapolated. The CPU time of sockets and codecs is
// measured with a small fleet of real control planes over loopback.
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

// budgetResult is the result for one budget.
type budgetResult struct {
	budget   string
	limit    float64
	measured float64
	unit     string
}

func (r budgetResult) String() string {
	verdict := "ok"
	if r.measured > r.limit {
		verdict = "short"
	}
	return fmt.Sprintf("| %s | %.4g %s | %.4g %s | %.0f%% | %s |",
		r.budget, r.limit, r.unit, r.measured, r.unit, 100*(1-r.measured/r.limit), verdict)
}

// benchmark measures one part of the system.
type benchmark struct {
	name    string
	measure func(o options) []budgetResult
}

type options struct {
	sizes            []int
	maxMassEventSize int // largest number of nodes for mass events
	seed             uint64
}

// withMaxSize returns the options without sizes above a limit.
func (o options) withMaxSize(limit int) options {
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

// targetSize returns the largest number of nodes that is measured.
func (o options) targetSize() int { return o.sizes[len(o.sizes)-1] }

var benchmarks = []benchmark{
	{"memory", memory},
	{"quiet", ordinaryDay},
	{"shell", idleControlPlanes},
	{"changes", changes},
	{"domain", domain},
	{"partition", partition},
	{"platform", platform},
	{"text", text},
}

func main() {
	sizes := flag.String("sizes", "50,200,800,3800", "numbers of nodes, in ascending order")
	only := flag.String("only", "", "benchmarks to run, separated by commas; all if empty")
	seed := flag.Uint64("seed", 1, "seed of all random numbers")
	maxMassEventSize := flag.Int("mass", 800, "largest size for the loss of a domain and for partitions; 3800 takes over ten minutes")
	flag.Parse()
	debug.SetMemoryLimit(memoryLimit) // the views of 3,800 nodes take about half of it
	o := options{seed: *seed, maxMassEventSize: *maxMassEventSize}
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			fmt.Fprintf(os.Stderr, "capacity: size %q is not a number\n", s)
			os.Exit(2)
		}
		o.sizes = append(o.sizes, n)
	}
	var results []budgetResult
	for _, b := range benchmarks {
		if *only == "" || strings.Contains(","+*only+",", ","+b.name+",") {
			fmt.Printf("== %s\n", b.name)
			start := time.Now()
			results = append(results, b.measure(o)...)
			fmt.Printf("(%s took %v)\n\n", b.name, time.Since(start).Round(time.Second))
		}
	}
	fmt.Println("| budget | limit | figure | margin | verdict |\n|---|---|---|---|---|")
	for _, r := range results {
		fmt.Println(r)
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes runs the garbage collector and returns the size of the live heap.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
