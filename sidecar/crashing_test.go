package sidecar_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crasher makes the target of a host crash and starts it again after a pause.
type crasher struct {
	h      *host
	backIn time.Duration
	mu     sync.Mutex
	down   bool
	count  int
	ended  bool
	wg     sync.WaitGroup
}

func newCrasher(h *host, backIn time.Duration) *crasher {
	x := &crasher{h: h, backIn: backIn}
	h.c.t.Cleanup(func() {
		x.mu.Lock()
		x.ended = true
		x.mu.Unlock()
		x.wg.Wait()
	})
	return x
}

// crash closes the listener and all connections of the target.
func (x *crasher) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down || x.ended {
		return
	}
	x.down = true
	x.count++
	tgt := x.h.target
	_ = tgt.server.Close()
	x.wg.Go(func() {
		time.Sleep(x.backIn)
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.ended {
			return
		}
		l, err := net.Listen("tcp", x.h.ip+":8301")
		if !assert.Check(x.h.c.t, err) {
			return
		}
		tgt.server = &http.Server{Handler: tgt.server.Handler}
		go func(s *http.Server) { _ = s.Serve(l) }(tgt.server)
		x.h.c.t.Cleanup(func() { _ = l.Close() })
		x.down = false
		tgt.startedMS.Add(1)
		x.h.announce("ready", 1)
	})
}

func (x *crasher) crashes() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.count
}

// crashingBoards adds hosts of the service board whose targets crash on requests with "poison" in their path or body.
// Other requests take 20 ms.
func crashingBoards(c *cluster, n int, backIn time.Duration) []*crasher {
	var boards []*crasher
	for range n {
		h := c.add("board", "a")
		x := newCrasher(h, backIn)
		h.target.setHandler(func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			if strings.Contains(q.URL.Path+string(body), "poison") {
				x.crash()
				panic(http.ErrAbortHandler)
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		})
		boards = append(boards, x)
	}
	return boards
}

func totalCrashes(boards []*crasher) int {
	n := 0
	for _, x := range boards {
		n += x.crashes()
	}
	return n
}

// tally counts requests: all, those that were rejected, and those that got neither the target's response nor the promise
// that they have not run.
type tally struct{ all, rejected, lost int64 }

// innocents sends requests to the nodes in turn until stop is called.
func innocents(hosts []*host, path func(n int) string) (stop func() tally) {
	var lost, rejected, all atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	for worker := range 3 {
		wg.Go(func() {
			for n := worker; ; n += 3 {
				select {
				case <-done:
					return
				case <-time.After(15 * time.Millisecond):
				}
				_, resp, _ := hosts[n%len(hosts)].send("GET", path(n), nil, nil)
				all.Add(1)
				switch resp.StatusCode {
				case http.StatusOK:
				case http.StatusServiceUnavailable:
					rejected.Add(1)
				default:
					lost.Add(1)
				}
			}
		})
	}
	return func() tally {
		close(done)
		wg.Wait()
		return tally{all: all.Load(), rejected: rejected.Load(), lost: lost.Load()}
	}
}

// maxCrashes is the number of targets that a request may crash if its copies follow one another: two until it is suspected,
// one at which it runs alone, and one more that starts it before the news arrives.
const maxCrashes = 4

// Guards against a request that crashes one target after the other while its caller sends it again: with and without a
// body, of known and of unknown length, idempotent or not, through any node, beside other requests.
func TestCrashingRequest(t *testing.T) {
	variants := map[string]func(n int) (method, path string, body io.Reader){
		"without a body":  func(int) (string, string, io.Reader) { return "GET", "/board/poison", nil },
		"not idempotent":  func(int) (string, string, io.Reader) { return "POST", "/once/poison", strings.NewReader("x") },
		"with a body":     func(int) (string, string, io.Reader) { return "PUT", "/board/a", strings.NewReader("poison") },
		"in other chunks": func(n int) (string, string, io.Reader) { return "PUT", "/board/a", framed(n, "poison") },
		"streamed": func(n int) (string, string, io.Reader) {
			return "PUT", "/board/a", framed(n, "poison"+strings.Repeat("x", 600_000))
		},
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(2, rule("/board/", "idempotent", 2, "board", 2), rule("/once/", "non_idempotent", 2, "board", 2))
			entry := c.add("ledger", "a")
			boards := crashingBoards(c, 3, 300*time.Millisecond)
			stop := innocents([]*host{entry}, func(n int) string { return fmt.Sprintf("/board/%d", n) })
			for n := range 16 {
				method, path, body := variant(n)
				_, resp, _ := c.hosts[n%len(c.hosts)].send(method, path, nil, body)
				assert.Assert(t, resp.StatusCode != http.StatusOK)
				time.Sleep(250 * time.Millisecond)
			}
			t.Logf("%d crashes; other requests: %+v", totalCrashes(boards), stop())
			assert.Assert(t, totalCrashes(boards) <= maxCrashes, "%d targets crashed", totalCrashes(boards))
		})
	}
}

// Guards against a request that crashes the only target of its service again and again, since a suspect prefers targets that
// have not crashed.
func TestCrashingRequestAtTheOnlyTarget(t *testing.T) {
	c := newCluster(t)
	entry := c.add("ledger", "a")
	boards := crashingBoards(c, 1, 200*time.Millisecond)
	for range 12 {
		entry.send("GET", "/board/poison", nil, nil)
		time.Sleep(300 * time.Millisecond)
	}
	assert.Assert(t, totalCrashes(boards) <= maxCrashes, "%d crashes", totalCrashes(boards))
	_, resp, _ := entry.send("GET", "/board/other", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// framed returns a body whose length is known for every other n only.
func framed(n int, text string) io.Reader {
	if n%2 == 0 {
		return strings.NewReader(text)
	}
	return io.MultiReader(strings.NewReader(text))
}

// Guards against a request that crashes targets again after each node of their service has been restarted, one by one.
func TestCrashingRequestAfterRestartOfNodes(t *testing.T) {
	c := newCluster(t)
	entry := c.add("ledger", "a")
	boards := crashingBoards(c, 3, 200*time.Millisecond)
	send := func(times int) {
		for range times {
			entry.send("GET", "/board/poison", nil, nil)
			time.Sleep(300 * time.Millisecond)
		}
	}
	send(6)
	for _, x := range boards {
		x.h.stop()
		<-x.h.ended
		x.h.start()
		x.h.awaitListening()
		x.h.announce("ready", 100)
		x.h.awaitReadiness(http.StatusOK)
		time.Sleep(300 * time.Millisecond)
	}
	send(4)
	assert.Assert(t, totalCrashes(boards) <= maxCrashes, "%d targets crashed", totalCrashes(boards))
}

// Guards against popular requests that are suspected or rejected because they run where something else crashes targets:
// another request, or targets that crash by themselves, one after the other.
func TestPopularRequestsBesideCrashes(t *testing.T) {
	c := newCluster(t)
	entry := c.add("ledger", "a")
	boards := crashingBoards(c, 3, 200*time.Millisecond)
	stop := innocents(c.hosts, func(int) string { return "/board/popular" })
	for n := range 20 {
		if n%4 == 0 {
			entry.send("GET", fmt.Sprintf("/board/poison%d", n/8), nil, nil)
		}
		boards[n%3].crash()
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	t.Logf("%d crashes; popular requests: %+v", totalCrashes(boards), stop())
	for _, h := range c.hosts {
		for range 5 {
			_, resp, _ := h.send("GET", "/board/popular", nil, nil)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		}
	}
}

// Guards against a popular request that is rejected everywhere because one target crashes with each request.
func TestTargetThatCrashesWithEachRequest(t *testing.T) {
	c := newCluster(t)
	c.add("ledger", "a")
	boards := crashingBoards(c, 3, 100*time.Millisecond)
	bad := boards[0]
	bad.h.target.setHandler(func(http.ResponseWriter, *http.Request) {
		bad.crash()
		panic(http.ErrAbortHandler)
	})
	stop := innocents(c.hosts, func(int) string { return "/board/popular" })
	time.Sleep(5 * time.Second)
	t.Logf("%d crashes; popular requests: %+v", totalCrashes(boards), stop())
	served := 0
	for n := range 30 {
		if _, resp, _ := c.hosts[n%len(c.hosts)].send("GET", "/board/popular", nil, nil); resp.StatusCode == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served >= 27, "%d of 30 served", served)
}
