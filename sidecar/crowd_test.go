package sidecar_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The tests of this file send what clients outside the limits may send to all ports of a node process, from a crowd of
// connections, and check what does not depend on the speed of the machine: that the processes live, that their memory and
// their descriptors stay within those of the settings, and that an ordinary request is answered afterwards. The limits are
// those of a small machine, so that a small crowd is enough.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 800
	crowdPerPort     = 120     // connections
	crowdBytes       = 1 << 20 // sent on a connection at most
	crowdTime        = 2 * time.Second
	slowPause        = 100 * time.Millisecond // between two pieces
	slowPieces       = 12
	afterCrowd       = 30 * time.Second
)

// crowdPorts are the ports of a node: for callers, readiness, announcements, other nodes and metrics.
var crowdPorts = []int{8304, 8302, 8306, 7620, 7635}

// abuse is what a connection of a crowd sends.
type abuse struct {
	name  string
	first string             // sent at the start
	next  func(n int) string // the pieces that follow without end; nil for none
	again bool               // another connection is opened when the node has closed one
}

// fields returns distinct short header fields, each of which takes far more memory than bytes.
func fields(n int) string {
	var b strings.Builder
	for k := range 256 {
		fmt.Fprintf(&b, "%s:\n", strconv.FormatInt(int64(n*256+k)+46656, 36))
	}
	return b.String()
}

func repeat(piece string) func(int) string { return func(int) string { return piece } }

const requestHead = "POST /board/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: 60000\r\n"

var abuses = []abuse{
	{name: "nothing"},
	{name: "empty lines", next: repeat(strings.Repeat("\r\n", 4096)), again: true},
	{name: "request line without end", first: "GET /", next: repeat(strings.Repeat("a", 8192)), again: true},
	{name: "field without end", first: requestHead + "X: ", next: repeat(strings.Repeat("a", 8192)), again: true},
	{name: "fields without end", first: requestHead, next: fields, again: true},
	{name: "fields up to a limit", first: requestHead + fields(0) + fields(1) + fields(2) + fields(3) + fields(4) + fields(5) + fields(6) + fields(7)},
	{name: "long head up to a limit", first: requestHead + "X: " + strings.Repeat("a", 60_000)},
	{name: "announced body", first: requestHead + "Content-Length: 1099511627776\r\n\r\n", next: repeat(strings.Repeat("b", 8192)), again: true},
	{name: "announced body, asked for", first: requestHead + "Content-Length: 1099511627776\r\nExpect: 100-continue\r\n\r\n", next: repeat(strings.Repeat("b", 8192))},
	{name: "body within the limit", first: requestHead + "Content-Length: 1048576\r\n\r\n", next: repeat(strings.Repeat("b", 8192))},
	{name: "chunks without end", first: requestHead + "Transfer-Encoding: chunked\r\n\r\n", next: repeat("2000\r\n" + strings.Repeat("b", 8192) + "\r\n"), again: true},
	{name: "chunk without end", first: requestHead + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", next: repeat(strings.Repeat("b", 8192)), again: true},
	{name: "chunk extension without end", first: requestHead + "Transfer-Encoding: chunked\r\n\r\n1;", next: repeat(strings.Repeat("e", 8192)), again: true},
	{name: "trailers without end", first: requestHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", next: fields, again: true},
	{name: "body until the end of the connection", first: strings.Replace(requestHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n", next: repeat(strings.Repeat("b", 8192)), again: true},
	{name: "announcement without end", first: "POST /v1/instances/i-9/heartbeat HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n", next: repeat("2000\r\n" + strings.Repeat(`{"a":[`, 1365) + "aa\r\n"), again: true},
	{name: "requests without end", next: repeat(strings.Repeat("GET /board/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: crowd\r\n\r\n", 32))},
	{name: "frames without end", first: "mustardmast-link 2\n", next: repeat("\x00\x03\xff\xff\x01\x00\x00\x00\x01" + strings.Repeat("f", 8192)), again: true},
	{name: "calls without end", first: "mustardmast-link 2\n", next: func(n int) string {
		return fmt.Sprintf("\x00\x00\x20\x00\x01%c%c%c%c", n>>24, n>>16&0xff, n>>8&0xff, n&0xff) + "\xff\x3f" + strings.Repeat("f", 8190)
	}},
	{name: "data without end", first: "mustardmast-link 2\n\x00\x00\x00\x01\x01\x00\x00\x00\x01\x00", next: repeat("\x00\x00\x20\x00\x03\x00\x00\x00\x01" + strings.Repeat("d", 8192))},
}

// send sends what the abuse consists of until end, or until the node closes the connection. Slow sends it in small pieces.
func (a abuse) send(address string, slow bool, end time.Time) {
	for sent := 0; sent < crowdBytes && time.Now().Before(end); {
		c, err := net.DialTimeout("tcp", address, time.Until(end))
		if err != nil {
			time.Sleep(slowPause)
			continue
		}
		_ = c.SetDeadline(end)
		sent += a.sendOn(c, slow, end, crowdBytes-sent)
		if !a.again {
			time.Sleep(time.Until(end))
		}
		_ = c.Close()
	}
}

func (a abuse) sendOn(c net.Conn, slow bool, end time.Time, limit int) (sent int) {
	write := func(text string) bool {
		pieces := [][]byte{[]byte(text)}
		if slow {
			size := max(1, len(text)/slowPieces)
			pieces = pieces[:0]
			for b := []byte(text); len(b) > 0; b = b[min(size, len(b)):] {
				pieces = append(pieces, b[:min(size, len(b))])
			}
		}
		for _, p := range pieces {
			n, err := c.Write(p)
			sent += n
			if err != nil || time.Now().After(end) {
				return false
			}
			if slow {
				time.Sleep(slowPause)
			}
		}
		return true
	}
	ok := write(a.first)
	for n := 0; ok && a.next != nil && sent < limit; n++ {
		ok = write(a.next(n))
	}
	if ok && a.next != nil {
		time.Sleep(time.Until(end))
	}
	return sent
}

// crowdCluster starts two node processes of small machines. Requests of /board/ run on the first host, and those of
// /ledger/ on the second one.
func crowdCluster(t *testing.T, program string) *cluster {
	t.Helper()
	return crowdClusterOf(t, program, crowdMemoryMB)
}

// crowdClusterOf is like crowdCluster with machines of another size.
func crowdClusterOf(t *testing.T, program string, memoryMB int) *cluster {
	t.Helper()
	c := newCluster(t)
	c.program, c.logs, c.memoryMB = program, t.TempDir(), memoryMB
	c.limits = fmt.Sprintf(`{"MemoryMb":%d,"MaxFds":%d}`, memoryMB, crowdDescriptors)
	t.Cleanup(func() {
		if t.Failed() {
			keepLogs(t, c.logs, uint64(os.Getpid()))
		}
	})
	c.add("board", "a")
	c.add("ledger", "b")
	return c
}

// checkCrowd runs a crowd against the first host and checks its effect.
func (c *cluster) checkCrowd(t *testing.T, crowd func(h *host, end time.Time)) {
	t.Helper()
	attacked := c.hosts[0]
	check := c.watchProcesses(t)
	crowd(attacked, time.Now().Add(crowdTime))
	for _, path := range []string{"/board/", "/ledger/"} {
		eventually(t, afterCrowd, func() bool {
			_, resp, _ := attacked.send("GET", path, nil, strings.NewReader("x"))
			return resp.StatusCode == http.StatusOK
		})
	}
	check()
}

// Guards against clients outside the limits that end or block a node by what they send or hold open: a process that uses
// more memory or descriptors than its machine has, or that answers no ordinary request afterwards.
func TestCrowdOutsideTheLimits(t *testing.T) {
	program := buildProgram(t)
	for _, a := range abuses {
		for _, pace := range []string{"fast", "slow"} {
			t.Run(a.name+"/"+pace, func(t *testing.T) {
				crowdCluster(t, program).checkCrowd(t, func(h *host, end time.Time) {
					var wg sync.WaitGroup
					for _, port := range crowdPorts {
						for range crowdPerPort {
							wg.Go(func() { a.send(fmt.Sprintf("%s:%d", h.ip, port), pace == "slow", end) })
						}
					}
					wg.Wait()
				})
			})
		}
	}
}

// Guards against more connections than descriptors, all of them to one port.
func TestCrowdOfConnections(t *testing.T) {
	program := buildProgram(t)
	for _, port := range crowdPorts {
		t.Run(strconv.Itoa(port), func(t *testing.T) {
			crowdCluster(t, program).checkCrowd(t, func(h *host, end time.Time) {
				var wg sync.WaitGroup
				for range crowdDescriptors + crowdPerPort {
					wg.Go(func() { abuse{first: "GET /board/ HTTP/1.1\r\n"}.send(fmt.Sprintf("%s:%d", h.ip, port), false, end) })
				}
				wg.Wait()
			})
		})
	}
}

// Guards against requests that each keep the limits, and together take more memory than the machine has: heads of many
// fields and bodies of the largest size, at a target that is slow to answer and to read.
func TestCrowdOfLargeRequests(t *testing.T) {
	program := buildProgram(t)
	heads := requestHead + fields(0) + fields(1) + fields(2) + fields(3) + fields(4) + fields(5) + fields(6)
	for name, text := range map[string]string{
		"heads":          heads + "Content-Length: 0\r\n\r\n",
		"heads, remote":  strings.Replace(heads, "/board/", "/ledger/", 1) + "Content-Length: 0\r\n\r\n",
		"bodies":         requestHead + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("b", 1<<20),
		"bodies, remote": strings.Replace(requestHead, "/board/", "/ledger/", 1) + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("b", 1<<20),
		"short bodies":   requestHead + "Content-Length: 262144\r\n\r\n" + strings.Repeat("b", 1<<18),
	} {
		t.Run(name, func(t *testing.T) {
			c := crowdCluster(t, program)
			for _, h := range c.hosts {
				h.target.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(crowdTime / 4) })
			}
			c.checkCrowd(t, func(h *host, end time.Time) {
				var wg sync.WaitGroup
				for range 4 * crowdPerPort {
					wg.Go(func() { abuse{first: text, again: true}.send(h.ip+":8304", false, end) })
				}
				wg.Wait()
			})
		})
	}
}

// Guards against clients that hold all connections for callers, so that an ordinary request gets none. They open them again
// when they are closed.
func TestOrdinaryRequestBesideHeldConnections(t *testing.T) {
	program := buildProgram(t)
	for _, a := range []abuse{
		{name: "nothing"},
		{name: "part of a head", first: "GET /board/ HTTP/1.1\r\nHost"},
		{name: "idle after a request", first: "GET /board/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: held\r\n\r\n"},
		{name: "part of a body", first: requestHead + "Content-Length: 100\r\n\r\nb"},
		{name: "part of the body of a refused request", first: strings.Replace(requestHead, "/board/", "/none/", 1) + "Content-Length: 100000\r\n\r\nb"},
		{name: "part of an announcement", first: "POST /v1/instances/i-9/heartbeat HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n{"},
		{name: "unread response", first: "GET /board/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: held\r\n\r\n"},
	} {
		t.Run(a.name, func(t *testing.T) {
			c := crowdCluster(t, program)
			if a.name == "unread response" {
				c.hosts[0].target.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 16<<20)) })
			}
			h, check := c.hosts[0], c.watchProcesses(t)
			var crowd sync.WaitGroup
			stop := make(chan struct{})
			for range crowdDescriptors {
				crowd.Go(func() { a.hold(h.ip+":8304", stop) })
			}
			time.Sleep(crowdTime)
			t.Cleanup(crowd.Wait)
			t.Cleanup(func() { close(stop) })
			eventually(t, afterCrowd, func() bool {
				_, resp, _ := h.send("GET", "/ledger/", http.Header{"Connection": {"close"}}, nil)
				return resp.StatusCode == http.StatusOK
			})
			check()
		})
	}
}

// Guards against bodies and responses of usual size that together take more memory than the machine has, at clients that
// read nothing.
func TestCrowdOfUnreadResponses(t *testing.T) {
	const (
		size     = 250 << 10 // bytes of a body and of a response; both are buffered
		memoryMB = 64
	)
	program := buildProgram(t)
	for name, framing := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size)),
	} {
		t.Run(name, func(t *testing.T) {
			c := crowdClusterOf(t, program, memoryMB)
			for _, h := range c.hosts {
				h.target.setHandler(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = w.Write(make([]byte, size))
				})
			}
			c.checkCrowd(t, func(h *host, end time.Time) {
				stop := make(chan struct{})
				time.AfterFunc(time.Until(end), func() { close(stop) })
				var wg sync.WaitGroup
				for range 4 * crowdPerPort {
					wg.Go(func() { abuse{first: requestHead + framing}.hold(h.ip+":8304", stop) })
				}
				wg.Wait()
			})
		})
	}
}

// Guards against bodies too large to be buffered that together take more memory than the machine has, on their way to the
// target of another host that does not read them.
func TestCrowdOfStreamedBodies(t *testing.T) {
	const memoryMB = 64
	program := buildProgram(t)
	for name, framing := range map[string]string{
		"length": "Content-Length: 1048576\r\n\r\n" + strings.Repeat("b", 1<<20),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2000\r\n"+strings.Repeat("b", 8192)+"\r\n", 128),
	} {
		t.Run(name, func(t *testing.T) {
			c := crowdClusterOf(t, program, memoryMB)
			for _, h := range c.hosts {
				h.target.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(crowdTime / 4) })
			}
			c.checkCrowd(t, func(h *host, end time.Time) {
				stop := make(chan struct{})
				time.AfterFunc(time.Until(end), func() { close(stop) })
				var wg sync.WaitGroup
				for range 4 * crowdPerPort {
					wg.Go(func() {
						abuse{first: strings.Replace(requestHead, "/board/", "/ledger/", 1) + framing}.hold(h.ip+":8304", stop)
					})
				}
				wg.Wait()
			})
		})
	}
}
