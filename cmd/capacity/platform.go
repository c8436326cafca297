package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"strings"

	"mustardmast/core/dissemination"
)

// platform computes the rate of calls to the platform. It depends on the number of failure domains, starts and changes,
// not on the size of the fleet.
func platform(o options) []budgetResult {
	const changes, restarts, seedsEvery = 4100.0 / secondsPerDay, 1400.0 / secondsPerDay, 300.0
	for _, n := range o.sizes {
		watches := float64(2*numDomains) * changes   // each watch returns once per change and is then repeated
		starts := restarts * float64(n) / 3800 * 1.0 // one read of the configuration per start
		seeds := numDomains / seedsEvery             // one read per domain in five minutes
		fmt.Printf("%d nodes: watches %.3f/s (%d waiting), starts %.4f/s, seeds %.3f/s\n",
			n, watches, 2*numDomains, starts, seeds)
	}
	total := 2*numDomains*changes + restarts + numDomains/seedsEvery
	return []budgetResult{{"platform reads and watches of an ordinary day (2,000/s shared by everybody)", 200, total, "calls/s"}}
}

// text measures the configuration text at the target size: the compressed size that a new node fetches, and the size of
// a change of one service.
func text(options) []budgetResult {
	whole := configText(580, 100)
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	_, _ = z.Write(whole)
	_ = z.Close()
	edit := dissemination.Diff(whole, []byte(strings.Replace(string(whole), `"slots": 100`, `"slots": 140`, 1)))
	fmt.Printf("580 services: %d bytes of text, %d compressed; an edit of one service inserts %d bytes\n",
		len(whole), compressed.Len(), len(edit.Inserted))
	return []budgetResult{{"compressed text that a new node fetches, within the burst", 64, float64(compressed.Len()) / 1024, "KB"}}
}

// configText returns a configuration text of typical structure.
func configText(services, slots int) []byte {
	type method struct {
		Name       string `json:"name"`
		Idempotent bool   `json:"idempotent"`
		Priority   string `json:"priority"`
		DeadlineMS int    `json:"deadline-ms"`
	}
	type service struct {
		Name      string   `json:"name"`
		Slots     int      `json:"slots"`
		DependsOn []string `json:"depends-on"`
		Methods   []method `json:"methods"`
	}
	var all []service
	for i := range services {
		s := service{Name: fmt.Sprintf("service-%03d", i), Slots: slots}
		for k := range 3 {
			s.DependsOn = append(s.DependsOn, fmt.Sprintf("service-%03d", (i*17+k*101+1)%services))
			s.Methods = append(s.Methods, method{fmt.Sprintf("method-%d-%d", i%40, k), k != 1, "important", 500 + 250*(i%7)})
		}
		all = append(all, s)
	}
	b, err := json.MarshalIndent(map[string]any{"services": all}, "", "  ")
	if err != nil {
		return nil
	}
	return b
}
