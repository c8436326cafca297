package sidecar_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// usage is what a process has used at most.
type usage struct {
	memoryKB    int
	descriptors int
}

// watchUsage samples the usage of a process until done is closed.
func watchUsage(pid int, done <-chan struct{}) <-chan usage {
	result := make(chan usage, 1)
	go func() {
		var u usage
		for {
			u.memoryKB = max(u.memoryKB, peakMemoryKB(pid))
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			u.descriptors = max(u.descriptors, len(open))
			select {
			case <-done:
				result <- u
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return result
}

// peakMemoryKB returns the largest resident memory that a process has had; 0 if it has ended.
func peakMemoryKB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for s := bufio.NewScanner(bytes.NewReader(raw)); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			return kb
		}
	}
	return 0
}

// watchProcesses watches the processes of all hosts, and sends heartbeats of their targets, as one that could not be
// reached for a moment is used again after its next heartbeat. The function that it returns ends this and checks what the
// processes have used.
func (c *cluster) watchProcesses(t *testing.T) (check func()) {
	t.Helper()
	done := make(chan struct{})
	var used []<-chan usage
	for _, h := range c.hosts {
		used = append(used, watchUsage(h.process.Pid, done))
	}
	go c.sendHeartbeats(done)
	return func() {
		t.Helper()
		close(done)
		for n, h := range c.hosts {
			u := <-used[n]
			t.Logf("host %d: %d MB, %d descriptors", n, u.memoryKB>>10, u.descriptors)
			assert.Check(t, h.process.Signal(syscall.Signal(0)) == nil, "the process of host %d has ended", n)
			assert.Check(t, u.memoryKB <= c.memoryMB<<10, "host %d: %d MB of memory", n, u.memoryKB>>10)
			assert.Check(t, u.descriptors <= crowdDescriptors, "host %d: %d descriptors", n, u.descriptors)
		}
	}
}

// hold sends what the abuse begins with, holds the connection without reading, and opens it again when it is closed, until
// stop is closed.
func (a abuse) hold(address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(slowPause):
		}
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		_, _ = c.Write([]byte(a.first))
		for open := true; open; {
			select {
			case <-stop:
				open = false
			case <-time.After(slowPause):
				open = !closedByPeer(c)
			}
		}
		_ = c.Close()
	}
}

// closedByPeer reports whether the other end has closed a connection. It reads nothing from it.
func closedByPeer(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != 1 // established
	})
	return closed || err != nil
}
