package node_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mustardmast/io/target/stub"
)

// session records the bytes that a caller sends and receives, over one connection per request.
type session struct {
	t    *testing.T
	text bytes.Buffer
}

// send writes one request and reads until the node closes the connection.
func (s *session) send(h *host, method, path, body string, headers ...string) string {
	s.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	assert.NilError(s.t, err)
	defer c.Close()
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	var q strings.Builder
	fmt.Fprintf(&q, "%s %s HTTP/1.1\r\nHost: node\r\nConnection: close\r\n", method, path)
	for i := 0; i < len(headers); i += 2 {
		fmt.Fprintf(&q, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&q, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err = c.Write([]byte(q.String()))
	assert.NilError(s.t, err)
	var got bytes.Buffer
	_, err = got.ReadFrom(bufio.NewReader(c))
	s.record("> ", q.String())
	s.record("< ", sortHeaders(got.String()))
	if err != nil {
		s.record("! ", "the connection was reset")
	}
	return got.String()
}

func (s *session) record(prefix, text string) {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		s.text.WriteString(strings.TrimRight(prefix+line, " ") + "\n")
	}
	s.text.WriteString("\n")
}

var (
	issuedID  = regexp.MustCompile(`mm1:[A-Za-z0-9_-]{32}`)
	date      = regexp.MustCompile(`(?m)^(.*Date: ).*$`)
	port      = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	waitValue = regexp.MustCompile(`(?mi)^(.*(?:retry-after-ms|retry-after): )\d+$`)
	longBody  = regexp.MustCompile(`x{100,}`)
)

// check compares the session with its golden file. Only ids, dates, ports, waits and runs of x in bodies are replaced
// by placeholders.
func (s *session) check(name string) {
	s.t.Helper()
	text := s.text.String()
	names := map[string]string{}
	text = issuedID.ReplaceAllStringFunc(text, func(id string) string {
		if names[id] == "" {
			names[id] = fmt.Sprintf("<id-%d>", len(names)+1)
		}
		return names[id]
	})
	text = date.ReplaceAllString(text, "${1}<date>")
	text = port.ReplaceAllString(text, "127.0.0.1:<port>")
	text = waitValue.ReplaceAllString(text, "${1}<wait>")
	text = longBody.ReplaceAllStringFunc(text, func(x string) string { return fmt.Sprintf("<%d bytes>", len(x)) })
	golden.Assert(s.t, text, name+".golden")
}

// sortHeaders sorts the headers of a response, because Go writes them in the order in which they were first set.
func sortHeaders(r string) string {
	head, body, ok := strings.Cut(r, "\r\n\r\n")
	if !ok {
		return r
	}
	lines := strings.Split(head, "\r\n")
	sort.Strings(lines[1:])
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// Guards against any change of the bytes that a caller receives for a served call and for its retry.
func TestSessionServed(t *testing.T) {
	_, first := newChain(t)
	s := session{t: t}
	got := s.send(first, "POST", "/socket-board/assign", "container 7", "Mustardmast-Backer", "maersk")
	id := issuedID.FindString(got)
	s.send(first, "POST", "/socket-board/assign", "container 7",
		"Mustardmast-Backer", "maersk", "Mustardmast-Request-Id", id, "Mustardmast-Attempt", "2")
	s.send(first, "POST", "/socket-board/assign", "container 8",
		"Mustardmast-Backer", "maersk", "Mustardmast-Request-Id", id, "Mustardmast-Attempt", "3")
	s.check("served")
}

// Guards against a rejection without a reason or with a wrong outcome.
func TestSessionBadRequests(t *testing.T) {
	_, first := newChain(t)
	s := session{t: t}
	s.send(first, "POST", "/socket-board/assign", "", "Mustardmast-Priority", "urgent")
	s.send(first, "POST", "/socket-board/assign", "", "Mustardmast-Request-Id", "my-own-id")
	s.send(first, "GET", "/socket-board/assign", "")
	s.send(first, "POST", "/socket-board", "")
	s.send(first, "POST", "/crane/lift", "")
	s.send(first, "POST", "/socket-board/lift", "")
	s.send(first, "POST", "/socket-board/list", "", "Mustardmast-Path", "plug-ledger,socket-board")
	s.send(first, "POST", "/socket-board/list", "", "Mustardmast-Path", "a,b,c,d,e,f,g,h")
	s.send(first, "POST", "/socket-board/list", "", "Mustardmast-Path", "reefer-watch",
		"Mustardmast-Request-Id", "root", "Mustardmast-Call-Key", "a/b")
	s.send(first, "POST", "/mustardmast/v1/request-ids?count=0", "")
	s.check("bad-requests")
}

// Guards against a call that reaches a target after its deadline.
func TestSessionDeadlinePassed(t *testing.T) {
	c, first := newChain(t)
	s := session{t: t}
	s.send(first, "POST", "/reefer-watch/register", "", "Mustardmast-Deadline-Ms", "0")
	assert.Equal(t, len(c.executions("reefer-watch")), 0)
	c.hosts[2].target.SetFaults(stub.Faults{DelayMS: 2000})
	// Sent through the target's own node, because with two nodes either may be the first to see the deadline pass.
	s.send(c.hosts[2], "POST", "/reefer-watch/register", "", "Mustardmast-Deadline-Ms", "50")
	s.check("deadline-passed")
}

// Guards against a draining target that receives a call, and against a rejection with a wrong outcome.
func TestSessionDraining(t *testing.T) {
	c, first := newChain(t)
	s := session{t: t}
	c.hosts[2].node.LocalTarget().Drain(time.Now())
	s.send(first, "POST", "/reefer-watch/register", "", "Mustardmast-Retry-Budget", "0")
	first.node.Drain()
	s.send(first, "POST", "/plug-ledger/record", "")
	assert.Equal(t, len(c.executions("reefer-watch"))+len(c.executions("plug-ledger")), 0)
	s.check("draining")
}

// Guards against a truncated response that reaches the caller as a complete one.
func TestSessionTruncatedResponse(t *testing.T) {
	c, first := newChain(t)
	s := session{t: t}
	c.hosts[2].target.SetFaults(stub.Faults{Size: 100_000, CutAfter: 60_000})
	s.send(first, "POST", "/reefer-watch/register", "", "Mustardmast-Retry-Budget", "0")
	s.check("cut-response")
}

// Guards against a rejection by the target itself that is reported with an unknown outcome.
func TestSessionTargetRejects(t *testing.T) {
	c, first := newChain(t)
	s := session{t: t}
	c.hosts[1].target.SetFaults(stub.Faults{Reject: true})
	s.send(first, "POST", "/plug-ledger/record", "", "Mustardmast-Retry-Budget", "1")
	s.check("target-refuses")
}

// Guards against a rejection under load without a reason, an outcome or a time after which to retry.
func TestSessionShed(t *testing.T) {
	c, first := newChain(t)
	last := c.hosts[2]
	last.target.SetFaults(stub.Faults{DelayMS: 300})
	announcement := last.announcement
	announcement.Slots = 1
	last.node.LocalTarget().Announce(time.Now(), announcement)
	var clients sync.WaitGroup
	for range 40 {
		clients.Go(func() {
			send(t, last.url+"/reefer-watch/register", "x", "Mustardmast-Retry-Budget", "0", "Mustardmast-Priority", "critical")
		})
	}
	time.Sleep(40 * time.Millisecond) // the queue is full for 100 ms
	s := session{t: t}
	s.send(first, "POST", "/reefer-watch/register", "", "Mustardmast-Retry-Budget", "0", "Mustardmast-Priority", "low")
	clients.Wait()
	s.check("shed")
}
