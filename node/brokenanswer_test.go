package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/header"
	"mustardmast/io/target/stub"
)

// rawPeer listens as a target or a node that answers each request at once, without reading its body, with given bytes.
type rawPeer struct {
	address netip.AddrPort
	answer  atomic.Pointer[rawAnswer]
	reused  atomic.Bool // a further request came on a connection
}

// rawAnswer is an answer, in which $id stands for the id of the request, and what follows it on the connection.
type rawAnswer struct {
	bytes string
	end   func(c *net.TCPConn)
}

func newRawPeer(t *testing.T) *rawPeer {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	p := &rawPeer{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				a := p.answer.Load()
				_, _ = io.WriteString(c, strings.ReplaceAll(a.bytes, "$id", q.Header.Get(header.RequestID)))
				a.end(c.(*net.TCPConn))
			}()
		}
	}()
	return p
}

// watch notes whether a further request comes on the connection.
func (p *rawPeer) watch(c *net.TCPConn) {
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // if it fails, the read below does
	raw, _ := io.ReadAll(c)
	if strings.Contains(string(raw), " HTTP/1.1\r\n") {
		p.reused.Store(true)
	}
}

// resetLater resets the connection once the node has read the answer.
func resetLater(c *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	_ = c.SetLinger(0) // if it fails, the end is orderly and the test fails
}

var brokenHeads = map[string]string{
	"status 000":                       "HTTP/1.1 000 \r\n$ids\r\nContent-Length: 0\r\n\r\n",
	"status 000, with a body":          "HTTP/1.1 000 \r\n$ids\r\nContent-Length: 4\r\n\r\nbody",
	"status 101":                       "HTTP/1.1 101 Switching Protocols\r\n$ids\r\n\r\n",
	"blank in a name":                  "HTTP/1.1 200 OK\r\n$ids\r\nX Y: z\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name, no body":         "HTTP/1.1 204 No Content\r\n$ids\r\nX Y: z\r\n\r\n",
	"blank after the name of a length": "HTTP/1.1 200 OK\r\n$ids\r\nContent-Length : 4\r\n\r\nbody and more",
	"blank before a name":              "HTTP/1.1 200 OK\r\n$ids\r\nX: y\r\n Content-Length: 4\r\n\r\nbody and more",
	"control byte in a name":           "HTTP/1.1 200 OK\r\n$ids\r\nX\x01Y: z\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name of a 1xx":         "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n$ids\r\nContent-Length: 4\r\n\r\nbody",
	"chunks in HTTP/1.0":               "HTTP/1.0 200 OK\r\n$ids\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"another version of HTTP":          "HTTP/2.0 200 OK\r\n$ids\r\nContent-Length: 4\r\n\r\nbody",
}

// endlessBody is a request body that ends only with its request.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// post sends a request, and returns status 0 if its answer is not complete.
func post(t *testing.T, url string, body io.Reader) (status int, outcome, text string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, body)
	assert.NilError(t, err)
	r.Header.Set("Mustardmast-Retry-Budget", "0")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", ""
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return 0, "", string(raw)
	}
	return resp.StatusCode, resp.Header.Get(header.Outcome), string(raw)
}

// brokenPeers calls f for a target of reefer-watch that answers with raw bytes, as seen by a client of the node beside it
// and of another node, and for a node beside such a target that does so. Ids are the fields that make an answer its own.
func brokenPeers(t *testing.T, f func(name string, p *rawPeer, url, ids string)) {
	t.Helper()
	c := newCluster(t, chainConfig())
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{})
	p := newRawPeer(t)
	announcement := last.announcement
	announcement.Address = p.address
	last.node.LocalTarget().Announce(time.Now(), announcement)
	f("target beside the node", p, last.url+"/reefer-watch/register", "X: y")
	f("target of another node", p, first.url+"/reefer-watch/register", "X: y")
	c.mu.Lock()
	last.member.Address = p.address
	c.mu.Unlock()
	f("node", p, first.url+"/reefer-watch/register", header.RequestID+": $id\r\n"+header.Outcome+": executed")
}

// Guards against an answer with a broken head, of a target or a node, that reaches a client or whose connection carries a
// further request.
func TestBrokenHead(t *testing.T) {
	brokenPeers(t, func(peer string, p *rawPeer, url, ids string) {
		for name, answer := range brokenHeads {
			p.answer.Store(&rawAnswer{bytes: strings.ReplaceAll(answer, "$ids", ids), end: p.watch})
			for n := range 2 {
				// Requests of the same content would be held to crash targets.
				status, outcome, text := post(t, url, strings.NewReader(fmt.Sprint(peer, name, n)))
				assert.Check(t, status != 0 && status/100 == 5 && outcome != "executed", "%s, %s: %d %s %q", peer, name, status, outcome, text)
			}
			time.Sleep(110 * time.Millisecond) // until the connections have been watched
			assert.Check(t, !p.reused.Swap(false), "%s, %s: a further request came on the connection", peer, name)
		}
	})
}

// Guards against a body without a length, of a target or a node, that is reset while the request is still being written and
// reaches the client as a complete answer.
func TestBodyResetDuringUpload(t *testing.T) {
	brokenPeers(t, func(peer string, p *rawPeer, url, ids string) {
		p.answer.Store(&rawAnswer{bytes: "HTTP/1.1 200 OK\r\n" + ids + "\r\n\r\npart", end: resetLater})
		for range 10 {
			status, _, text := post(t, url, endlessBody{})
			assert.Check(t, status != http.StatusOK, "%s: %q is complete", peer, text)
		}
	})
}
