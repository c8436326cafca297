package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// retriedUpload: an idempotent request with a long body in chunks reaches an upstream that fails part of its requests,
// and is sent to a second one. Rule UNASKED: no upstream may run it with another body.
func retriedUpload(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"socket-board", "socket-board", "plug-ledger"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	d.configure([]route{
		{prefix: "/board/", kind: "idempotent", service: "socket-board", timeout: 5, latency: 1.5, attempts: 2},
		{prefix: "/plug-in/", kind: "non_idempotent", service: "plug-ledger", timeout: 2, latency: 1.5, attempts: 2},
	})
	if err := d.startAll(); err != nil {
		return cannotRun, err
	}
	g := &greyUpstream{record: r, grey: trouble, runs: map[string]int{}}
	for _, m := range d.machines {
		u := &upstream{d: d, machine: m, slots: 91, handler: g}
		if err := u.start(); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(5 * time.Second)
	entry := d.machines[2].address(outboundPort)
	var mu sync.Mutex
	false200 := map[int]int{} // answers with 200 to requests that ran with another body, by the size of the body
	send := func(id string, size int) {
		status, err := chunked(entry, "/board/snapshot", id, size)
		r.logf("client: %s, %d bytes -> %d, %v", id, size, status, err)
		mu.Lock()
		defer mu.Unlock()
		if status == http.StatusOK && g.changed(id) {
			false200[size]++
		}
	}
	for n := range 12 { // one client with long bodies
		send(fmt.Sprintf("b%05d", n), longBody)
		time.Sleep(200 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for c := range 70 { // many clients with short bodies
		wg.Go(func() {
			for n := range 10 {
				send(fmt.Sprintf("s%02d%03d", c, n), shortBody)
			}
		})
	}
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	r.sayf("requests that an upstream ran: %d, with another body than the client sent: %d", len(g.runs), len(g.wrong))
	r.sayf("of these answered with 200: %d with bodies of 1 MB, %d with bodies of 4 KB", false200[longBody], false200[shortBody])
	switch {
	case len(g.runs) == 0:
		return cannotRun, errors.New("no request ran")
	case len(g.wrong) > 0:
		return broken, nil
	}
	return held, nil
}

// Sizes of bodies in bytes.
const (
	longBody  = 1 << 20
	shortBody = 4 << 10
)

// chunked sends a PUT with a body in chunks and returns the status of the answer.
func chunked(address, path, id string, size int) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	w := bufio.NewWriter(c)
	fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", path, routeHost, id)
	part := make([]byte, min(size, uploadPart))
	for at := 0; at < size; at += len(part) {
		pattern(part, at)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
	}
	io.WriteString(w, "0\r\n\r\n")
	if err := w.Flush(); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// greyUpstream runs the requests of all upstreams. If grey, every fourth run fails with 500.
type greyUpstream struct {
	record *recorder
	grey   bool

	mu    sync.Mutex
	total int
	runs  map[string]int
	wrong map[string]bool
}

func (g *greyUpstream) changed(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wrong[id]
}

// ServeHTTP implements http.Handler.
func (g *greyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	check := &checkedBody{}
	buffer := make([]byte, uploadPart)
	var err error
	for err == nil {
		var n int
		n, err = r.Body.Read(buffer)
		check.add(buffer[:n])
	}
	if err != io.EOF {
		g.record.logf("upstream: %s not run, its body broke off after %d bytes: %v", id, check.size, err)
		return
	}
	time.Sleep(150 * time.Millisecond)
	g.mu.Lock()
	g.total++
	g.runs[id]++
	run := g.runs[id]
	fails := g.grey && g.total%4 == 0
	size := longBody
	if id[0] == 's' {
		size = shortBody
	}
	changed := check.bad || check.size != size
	if changed {
		if g.wrong == nil {
			g.wrong = map[string]bool{}
		}
		g.wrong[id] = true
	}
	g.mu.Unlock()
	g.record.logf("upstream: %s run %d with a body of %d bytes, %s, fails %v", id, run, check.size, check, fails)
	w.Header().Set("Server-Signature", fmt.Sprintf("3e1b.%s.%d", id, check.size))
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	io.WriteString(w, "done")
}
