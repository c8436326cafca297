package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTwoNodes returns the host to which requests for /board/ are sent and the host whose target runs them.
func newTwoNodes(b *testing.B) (entry, ledger *host) {
	b.Helper()
	c := newCluster(b)
	entry, ledger = c.add("board", "a"), c.add("ledger", "a")
	c.configure(3, rule("/board/", "idempotent", 2, "ledger", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
	ledger.target.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	eventually(b, 2*time.Second, func() bool {
		_, resp, _ := entry.send("GET", "/board/", nil, nil)
		return resp.StatusCode == http.StatusOK
	})
	return entry, ledger
}

// BenchmarkCall measures a request that passes through two nodes. Client and target do as little work as possible, so
// most of the time is spent in the nodes.
func BenchmarkCall(b *testing.B) {
	entry, _ := newTwoNodes(b)
	var ids atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		n, err := net.Dial("tcp", entry.ip+":8304")
		assert.NilError(b, err)
		defer func() { _ = n.Close() }()
		r := bufio.NewReader(n)
		for pb.Next() {
			_, err := fmt.Fprintf(n, "GET /board/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: b%d\r\nDeadline-Ms: 2000\r\n\r\n", ids.Add(1))
			assert.NilError(b, err)
			line, err := textproto.NewReader(r).ReadLine()
			assert.NilError(b, err)
			h, err := textproto.NewReader(r).ReadMIMEHeader()
			assert.NilError(b, err)
			if !strings.Contains(line, " 200 ") {
				b.Fatalf("%s %v", line, h)
			}
			var length int64
			_, _ = fmt.Sscan(h.Get("Content-Length"), &length)
			_, err = io.CopyN(io.Discard, r, length)
			assert.NilError(b, err)
		}
	})
}

// percentile returns the latency below which the given fraction of the sorted latencies lies.
func percentile(latencies []time.Duration, fraction float64) time.Duration {
	return latencies[min(len(latencies)-1, int(fraction*float64(len(latencies))))]
}

// sendAtRate sends requests at a constant rate for d, whether or not earlier ones have completed (an open loop), and
// returns their sorted latencies. A latency counts from the scheduled time of the request.
func sendAtRate(b *testing.B, url string, perSecond int, d time.Duration) []time.Duration {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	for due, end := time.Now(), time.Now().Add(d); due.Before(end); due = due.Add(interval) {
		time.Sleep(time.Until(due))
		wg.Go(func() {
			r, err := http.NewRequest(http.MethodGet, url, nil)
			assert.Check(b, err == nil, "%v", err)
			r.Host = "a.example"
			r.Header.Set("Attempt-Id", fmt.Sprintf("%016x", requestCount.Add(1)))
			r.Header.Set("Deadline-Ms", "2000")
			r.Header.Set("Expected-Instance", "i-1") // nodes replace it with the lifetime of their target
			resp, err := client.Do(r)
			if !assert.Check(b, err == nil, "%v", err) {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			latency := time.Since(due)
			if resp.StatusCode != http.StatusOK {
				b.Logf("status %d", resp.StatusCode)
				return
			}
			mu.Lock()
			latencies = append(latencies, latency)
			mu.Unlock()
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies
}

// BenchmarkAddedLatency measures the latency that two nodes add to a call, compared with direct calls to the target in
// the same run.
func BenchmarkAddedLatency(b *testing.B) {
	entry, ledger := newTwoNodes(b)
	for _, perSecond := range []int{100, 500, 1500} {
		b.Run(strconv.Itoa(perSecond), func(b *testing.B) {
			for range b.N {
				direct := sendAtRate(b, "http://"+ledger.ip+":8301/x", perSecond, 4*time.Second)
				nodes := sendAtRate(b, "http://"+entry.ip+":8304/board/x", perSecond, 4*time.Second)
				for _, p := range []float64{0.5, 0.99} {
					b.ReportMetric(float64(percentile(direct, p).Microseconds()), fmt.Sprintf("direct-p%g-us", 100*p))
					b.ReportMetric(float64((percentile(nodes, p) - percentile(direct, p)).Microseconds()), fmt.Sprintf("added-p%g-us", 100*p))
				}
			}
		})
	}
}
