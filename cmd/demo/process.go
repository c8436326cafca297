package main

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// processes are the children of the demo. All are ended when it ends.
type processes struct {
	bin  string
	dir  string
	mu   sync.Mutex
	list []*process
}

type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// start runs a program of the bin directory with its output in a file, and returns the first line that it prints.
func (p *processes) start(name, program string, args ...string) (*process, string, error) {
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, "", err
	}
	c := exec.Command(filepath.Join(p.bin, program), args...)
	c.Stderr = log
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := c.Start(); err != nil {
		return nil, "", errors.Wrapf(err, "start %s", program)
	}
	x := &process{name: name, cmd: c, log: log, done: make(chan struct{})}
	p.mu.Lock()
	p.list = append(p.list, x)
	p.mu.Unlock()
	first := make(chan string, 1)
	go func() {
		r := bufio.NewReader(out)
		line, _ := r.ReadString('\n')
		first <- strings.TrimSpace(line)
		_, _ = io.Copy(log, r)
		_ = c.Wait()
		close(x.done)
	}()
	if program == "mustardmast" {
		return x, "", nil // a node prints nothing
	}
	select {
	case line := <-first:
		return x, line, nil
	case <-time.After(10 * time.Second):
		return nil, "", errors.Errorf("%s printed nothing", name)
	}
}

// kill ends a process at once.
func (x *process) kill() {
	_ = x.cmd.Process.Signal(syscall.SIGKILL)
	<-x.done
}

// stop asks a process to stop and returns its exit code.
func (x *process) stop() int {
	_ = x.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-x.done:
	case <-time.After(15 * time.Second):
		x.kill()
	}
	return x.cmd.ProcessState.ExitCode()
}

// end kills whatever still runs.
func (p *processes) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		select {
		case <-x.done:
		default:
			x.kill()
		}
		_ = x.log.Close()
	}
}

// freePorts returns n loopback addresses whose ports were free a moment ago.
func freePorts(n int) ([]string, error) {
	var ls []net.Listener
	defer func() {
		for _, l := range ls {
			_ = l.Close()
		}
	}()
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		ls = append(ls, l)
		addrs[i] = l.Addr().String()
	}
	return addrs, nil
}

func lastWord(s string) string {
	f := strings.Fields(s)
	if len(f) == 0 {
		return ""
	}
	return strings.TrimPrefix(f[len(f)-1], "http://")
}
