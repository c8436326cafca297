package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The answers of truncatedAnswer are of a usual size, in bytes. An upstream sends answerStart of them at once, and the rest
// after answerPause.
const (
	answerSize  = 30 << 10
	answerStart = 24 << 10
	answerPause = time.Second
)

// truncatedAnswer: the node beside an upstream is killed while it passes an answer on. Rule MIXED: an answer that ends
// early must not look complete.
func truncatedAnswer(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"plug-ledger", "socket-board"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	d.configure([]route{
		{prefix: "/history/", kind: "idempotent", service: "plug-ledger", timeout: 6, latency: 1, attempts: 2},
		{prefix: "/plug-in/", kind: "non_idempotent", service: "plug-ledger", timeout: 6, latency: 1.5, attempts: 2},
		{prefix: "/status/", kind: "idempotent", service: "socket-board", timeout: 2, latency: 1.5, attempts: 2, priority: 2},
	})
	if err := d.startAll(); err != nil {
		return cannotRun, err
	}
	for _, m := range d.machines {
		u := &upstream{d: d, machine: m, slots: 40, handler: http.HandlerFunc(answerInParts)}
		if err := u.start(); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(5 * time.Second)
	t := &truncatedTally{record: r}
	beside, entry := d.machines[0], d.machines[1].address(outboundPort)
	for round := range 8 {
		var wg sync.WaitGroup
		for n := range 6 {
			wg.Go(func() { t.send(entry, "GET", "/history/1", fmt.Sprintf("h%02d%02d", round, n)) })
			wg.Go(func() { t.send(entry, "POST", "/plug-in/1", fmt.Sprintf("p%02d%02d", round, n)) })
		}
		time.Sleep(answerPause / 2)
		if trouble {
			beside.kill()
			time.Sleep(300 * time.Millisecond)
			if err := beside.start(); err != nil {
				return cannotRun, err
			}
		}
		wg.Wait()
		if err := beside.awaitReady(10 * time.Second); err != nil {
			return cannotRun, err
		}
		time.Sleep(2 * time.Second)
	}
	r.sayf("answers with 200 and the whole body: %d; that showed that they broke off: %d; without success: %d", t.whole, t.cut, t.failed)
	r.sayf("answers with 200 and a Server-Signature that look complete and are not: %d", t.wrong)
	switch {
	case t.wrong > 0:
		return broken, nil
	case t.whole+t.cut+t.failed == 0:
		return cannotRun, errors.New("no request was sent")
	}
	return held, nil
}

// answerInParts answers with a length, and pauses before the last part.
func answerInParts(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Signature", "3e1b."+r.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Length", fmt.Sprint(answerSize))
	w.Write(bytes.Repeat([]byte("x"), answerStart))
	w.(http.Flusher).Flush()
	time.Sleep(answerPause)
	w.Write(bytes.Repeat([]byte("x"), answerSize-answerStart))
}

// truncatedTally counts answers by what the client can see of them.
type truncatedTally struct {
	record *recorder

	mu                        sync.Mutex
	whole, cut, failed, wrong int
}

// send sends a request and reads its answer.
func (t *truncatedTally) send(address, method, path, id string) {
	status, signed, read, err := readAnswer(address, method, path, id)
	t.record.logf("client: %s %s %s -> %d signed %v, %d of %d bytes, %v", id, method, path, status, signed, read, answerSize, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case status != http.StatusOK:
		t.failed++
	case err != nil:
		t.cut++
	case read == answerSize:
		t.whole++
	default:
		t.wrong++
	}
}

func readAnswer(address, method, path, id string) (status int, signed bool, read int64, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, false, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n", method, path, routeHost, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, 0, err
	}
	read, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Server-Signature") != "", read, err
}
