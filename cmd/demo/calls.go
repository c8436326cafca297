package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"mustardmast/io/header"
)

// seen is what a caller saw of one call.
type seen struct {
	status  int
	outcome string
	id      string
	text    string
	took    time.Duration
}

func method(service string) string {
	switch service {
	case "socket-board":
		return "assign"
	case "plug-ledger":
		return "record"
	default:
		return "register"
	}
}

// callOnce sends one call to a node.
func callOnce(node, path string, heads http.Header) seen {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, strings.NewReader("container 7"))
	if err != nil {
		return seen{text: err.Error()}
	}
	for k, v := range heads {
		q.Header[k] = v
	}
	q.Header.Set(header.Backer, "adria-line")
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return seen{outcome: "unknown", text: err.Error(), took: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	s := seen{
		status: res.StatusCode, outcome: res.Header.Get(header.Outcome), id: res.Header.Get(header.RequestID),
		text: strings.TrimSpace(string(b)), took: time.Since(start),
	}
	if err != nil {
		s.status, s.outcome = 0, "unknown"
	}
	return s
}

// result is one line of the demo's table.
type result struct {
	calls, ok, refused, unknown int
	took                        []time.Duration
}

func (r *result) String() string {
	sort.Slice(r.took, func(i, j int) bool { return r.took[i] < r.took[j] })
	at := func(q float64) time.Duration {
		return r.took[int(q*float64(len(r.took)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("%6d %3d  %7d  %7d  %-8s %s", r.calls, r.ok, r.refused, r.unknown, at(0.5), at(0.99))
}

// load sends n calls through the nodes that are up, one after the other.
func (d *deployment) load(n int) *result {
	r := &result{}
	var up []*host
	for _, h := range d.hosts {
		if !h.gone {
			up = append(up, h)
		}
	}
	for i := range n {
		s := callOnce(up[i%len(up)].caller, "/socket-board/assign", nil)
		r.calls++
		r.took = append(r.took, s.took)
		switch {
		case s.status == http.StatusOK:
			r.ok++
			d.accepted[s.id] = true
		case s.outcome == "not-executed":
			r.refused++
		default:
			r.unknown++
		}
	}
	return r
}
