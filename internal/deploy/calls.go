package deploy

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

// Response is what a caller saw of one call.
type Response struct {
	Status    int
	Outcome   string
	ErrorKind string
	ID        string
	Text      string
	Latency   time.Duration
}

// Call sends one call to a node. Heads are added to the request.
func Call(node, path, body string, heads http.Header) Response {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, strings.NewReader(body))
	if err != nil {
		return Response{Text: err.Error()}
	}
	for k, v := range heads {
		q.Header[k] = v
	}
	q.Header.Set(header.Backer, "adria-line")
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return Response{Outcome: "unknown", Text: err.Error(), Latency: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	s := Response{
		Status: res.StatusCode, Outcome: res.Header.Get(header.Outcome), ErrorKind: res.Header.Get(header.Error),
		ID: res.Header.Get(header.RequestID), Text: strings.TrimSpace(string(b)), Latency: time.Since(start),
	}
	if err != nil {
		s.Status, s.Outcome = 0, "unknown"
	}
	return s
}

// Summary sums what callers saw.
type Summary struct {
	Calls, OK, Rejected, Unknown int
	took                         []time.Duration
}

// Add counts one call.
func (r *Summary) Add(s Response) {
	r.Calls++
	r.took = append(r.took, s.Latency)
	switch {
	case s.Status == http.StatusOK:
		r.OK++
	case s.Outcome == "not-executed":
		r.Rejected++
	default:
		r.Unknown++
	}
}

// String returns the figures as a row of the demo's table.
func (r *Summary) String() string {
	sort.Slice(r.took, func(i, j int) bool { return r.took[i] < r.took[j] })
	at := func(q float64) time.Duration {
		return r.took[int(q*float64(len(r.took)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("%6d %3d  %7d  %7d  %-8s %s", r.Calls, r.OK, r.Rejected, r.Unknown, at(0.5), at(0.99))
}
