// Command overhead measures the latency that one or two nodes add to a call between processes: callers send the same
// call directly to a target, through one node and through two nodes, in turn and at several rates. Arrivals are
// open-loop and latency is measured from the intended start, so that a slow response does not hide the delay of later
// calls (coordinated omission).
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"mustardmast/internal/deploy"
	"mustardmast/io/header"
)

type options struct {
	Bin    string        `long:"bin" default:"bin" description:"directory of the built programs"`
	Config string        `long:"config" default:"examples/koper.json" description:"configuration text"`
	Rates  []int         `long:"rate" description:"calls a second; repeatable (default 100, 500, 1500)"`
	Time   time.Duration `long:"time" default:"3s" description:"time of each run"`
	Rounds int           `long:"rounds" default:"3" description:"alternations of the two variants at each rate"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if len(o.Rates) == 0 {
		o.Rates = []int{100, 500, 1500}
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "mustardmast-overhead-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := deploy.Start(deploy.Spec{Bin: o.Bin, Dir: dir, Domains: []deploy.Domain{{Name: "koper-a", IP: "127.0.0.1"}}})
	defer d.KillAll()
	if err != nil {
		return err
	}
	if err := d.Apply(o.Config, 0, "overhead"); err != nil {
		return err
	}
	if err := d.AwaitServing(20 * time.Second); err != nil {
		return err
	}
	const path = "/reefer-watch/register"
	variants := []struct{ name, url string }{
		{"direct", "http://" + d.Host("koper-a", "reefer-watch").TargetAddress + path},
		{"one node", "http://" + d.Host("koper-a", "reefer-watch").CallerAddress + path},
		{"two nodes", "http://" + d.Host("koper-a", "socket-board").CallerAddress + path},
	}
	fmt.Println("rate  variant    calls  failed  p50       p99       added p50  added p99")
	for _, rate := range o.Rates {
		results := make([]series, len(variants))
		for range o.Rounds {
			for i, v := range variants {
				results[i].merge(load(v.url, rate, o.Time))
			}
		}
		for i, v := range variants {
			fmt.Printf("%-5d %-10s %-6d %-7d %-9s %-9s %-10s %s\n", rate, v.name, len(results[i].latency), results[i].failed,
				round(results[i].quantile(0.5)), round(results[i].quantile(0.99)), round(results[i].quantile(0.5)-results[0].quantile(0.5)),
				round(results[i].quantile(0.99)-results[0].quantile(0.99)))
			if results[i].failed > 0 {
				fmt.Println("      failures:", results[i].failuresByKind)
			}
		}
	}
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// series holds the results of one variant.
type series struct {
	latency        []time.Duration
	failed         int
	failuresByKind map[string]int // by error
}

func (s *series) merge(o series) {
	s.latency = append(s.latency, o.latency...)
	s.failed += o.failed
	for k, n := range o.failuresByKind {
		if s.failuresByKind == nil {
			s.failuresByKind = map[string]int{}
		}
		s.failuresByKind[k] += n
	}
	sort.Slice(s.latency, func(i, j int) bool { return s.latency[i] < s.latency[j] })
}

func (s *series) quantile(q float64) time.Duration {
	if len(s.latency) == 0 {
		return 0
	}
	return s.latency[int(q*float64(len(s.latency)-1))]
}

// load sends calls at a constant rate for the given time and awaits their responses.
func load(url string, rate int, d time.Duration) series {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var (
		mu  sync.Mutex
		all sync.WaitGroup
		out series
	)
	out.failuresByKind = map[string]int{}
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	for i := range int(d / interval) {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		all.Add(1)
		go func() {
			defer all.Done()
			kind := post(client, url)
			latency := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if kind != "" {
				out.failed++
				out.failuresByKind[kind]++
			}
			out.latency = append(out.latency, latency)
		}()
	}
	all.Wait()
	return out
}

// post sends a call. It returns an empty string if the call succeeded, and otherwise the status and error kind of the
// response or a description of the failure.
func post(c *http.Client, url string) string {
	res, err := c.Post(url, "text/plain", strings.NewReader("container 7"))
	if err != nil {
		return "no response"
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "response truncated"
	}
	if res.StatusCode == http.StatusOK {
		return ""
	}
	return res.Status + " " + res.Header.Get(header.Error)
}
