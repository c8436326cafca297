package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploadSize  = 2 << 20
	uploadPart  = 32 << 10
	earlyAnswer = 300 << 10 // bytes of the answer that are sent before the rest of the upload is read
	fullAnswer  = 320 << 10
)

// earlyAnswerCase: an upstream answers before it has read a long body, keeps the connection and reads on. Rule UNASKED.
func earlyAnswerCase(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"unplug-desk", "socket-board"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	d.configure([]route{
		{prefix: "/unplug/", kind: "upload", service: "unplug-desk", timeout: 8, latency: 4, attempts: 2},
		{prefix: "/status/", kind: "idempotent", service: "socket-board", timeout: 2, latency: 1.5, attempts: 2, priority: 2},
	})
	if err := d.startAll(); err != nil {
		return cannotRun, err
	}
	e := &earlyUpstream{record: r, early: trouble, got: map[string]string{}, wrong: map[string]bool{}}
	u := &upstream{d: d, machine: d.machines[0], slots: 20, serve: e.serve}
	e.u = u
	if err := u.start(); err != nil {
		return cannotRun, err
	}
	time.Sleep(5 * time.Second)
	const uploads = 10
	for n := range uploads {
		id := fmt.Sprintf("u%05d", n)
		status, read, err := upload(d.machines[1].address(outboundPort), id)
		r.logf("client: %s -> %d, %d bytes of the answer, %v", id, status, read, err)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	wrong := 0
	for id, what := range e.got {
		r.logf("upstream: body of %s: %s", id, what)
		if e.wrong[id] {
			wrong++
		}
	}
	r.sayf("uploads that ran: %d, with other bytes than the client sent: %d", len(e.got), wrong)
	switch {
	case len(e.got) == 0:
		return cannotRun, errors.New("no upload ran")
	case wrong > 0:
		return broken, nil
	}
	return held, nil
}

// pattern fills p with the bytes of an upload from an offset; both are multiples of 8.
func pattern(p []byte, offset int) {
	for i := 0; i < len(p); i += 8 {
		binary.BigEndian.PutUint64(p[i:], uint64(offset+i))
	}
}

// upload sends a chunked upload and reads the answer while it sends.
func upload(address, id string) (status int, read int64, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		fmt.Fprintf(c, "POST /unplug/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", routeHost, id)
		part := make([]byte, uploadPart)
		for at := 0; at < uploadSize; at += uploadPart {
			pattern(part, at)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		io.WriteString(c, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	read, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, read, err
}

// earlyUpstream answers an upload before it has read all of it, and checks each byte that it reads. It serves its
// connections itself, since the server of net/http does not read a body after it has answered.
type earlyUpstream struct {
	record *recorder
	u      *upstream
	early  bool

	mu    sync.Mutex
	got   map[string]string
	wrong map[string]bool
}

func (e *earlyUpstream) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *earlyUpstream) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nInstance-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n", e.u.id, e.u.slots)
			continue
		}
		if err := e.run(c, r); err != nil {
			return
		}
	}
}

// run runs an upload. It returns an error if the connection cannot be used any more.
func (e *earlyUpstream) run(c net.Conn, r *http.Request) error {
	id := r.Header.Get("Attempt-Id")
	e.record.logf("upstream: %s runs", id)
	check := &checkedBody{}
	first := uploadSize
	if e.early {
		first = uploadPart
	}
	err := check.read(r.Body, first)
	if err == nil {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: 3e1b.%s\r\nContent-Length: %d\r\n\r\n", id, id, fullAnswer)
		c.Write(make([]byte, earlyAnswer))
		time.Sleep(100 * time.Millisecond)
		err = check.read(r.Body, uploadSize+1) // to the end of the body
		c.Write(make([]byte, fullAnswer-earlyAnswer))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got[id] = fmt.Sprintf("%d bytes, %s, end: %v", check.size, check, err)
	e.wrong[id] = check.bad
	if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// checkedBody compares a body with the pattern of an upload.
type checkedBody struct {
	size  int
	bad   bool
	at    int // offset of the first wrong byte
	value int // offset in the upload from which that byte comes
	rest  []byte
}

// read reads up to limit bytes of a body.
func (c *checkedBody) read(body io.Reader, limit int) error {
	buffer := make([]byte, uploadPart)
	for n := 0; n < limit; {
		m, err := body.Read(buffer[:min(len(buffer), limit-n)])
		c.add(buffer[:m])
		n += m
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *checkedBody) add(p []byte) {
	c.rest = append(c.rest, p...)
	for len(c.rest) >= 8 {
		if v := int(binary.BigEndian.Uint64(c.rest)); v != c.size && !c.bad {
			c.bad, c.at, c.value = true, c.size, v
		}
		c.size += 8
		c.rest = c.rest[8:]
	}
}

// String describes the first difference.
func (c *checkedBody) String() string {
	if !c.bad {
		return "as sent"
	}
	return fmt.Sprintf("at byte %d stand the bytes that the client sent at %d", c.at, c.value)
}
