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

// Response is the outcome of one call as its caller received it.
type Response struct {
	Status    int
	Outcome   string
	ErrorKind string
	ID        string
	Text      string
	Latency   time.Duration
}

// Call sends one call with the given additional headers to a node. Without an HTTP response, Outcome is "unknown" and
// Text is the error.
func Call(node, path, body string, headers http.Header) Response {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, strings.NewReader(body))
	if err != nil {
		return Response{Text: err.Error()}
	}
	for k, v := range headers {
		req.Header[k] = v
	}
	req.Header.Set(header.Backer, "adria-line")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{Outcome: "unknown", Text: err.Error(), Latency: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	r := Response{
		Status: res.StatusCode, Outcome: res.Header.Get(header.Outcome), ErrorKind: res.Header.Get(header.Error),
		ID: res.Header.Get(header.RequestID), Text: strings.TrimSpace(string(b)), Latency: time.Since(start),
	}
	if err != nil {
		r.Status, r.Outcome = 0, "unknown"
	}
	return r
}

// Summary counts the responses to many calls.
type Summary struct {
	Calls, OK, Rejected, Unknown int
	latencies                    []time.Duration
}

// Add counts one response.
func (s *Summary) Add(r Response) {
	s.Calls++
	s.latencies = append(s.latencies, r.Latency)
	switch {
	case r.Status == http.StatusOK:
		s.OK++
	case r.Outcome == "not-executed":
		s.Rejected++
	default:
		s.Unknown++
	}
}

// String formats the counts and the 50th and 99th percentile of the latency as a row of the demo's table.
func (s *Summary) String() string {
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	quantile := func(q float64) time.Duration {
		return s.latencies[int(q*float64(len(s.latencies)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("%6d %3d  %7d  %7d  %-8s %s", s.Calls, s.OK, s.Rejected, s.Unknown, quantile(0.5), quantile(0.99))
}
