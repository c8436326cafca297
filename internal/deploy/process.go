package deploy

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	firstLineTimeout = 10 * time.Second
	stopTimeout      = 15 * time.Second
)

// Process is a child process.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// processes starts and ends the child processes of a deployment.
type processes struct {
	bin, dir string
	mu       sync.Mutex
	children []*Process
}

// start runs a program of the bin directory and writes its output to a log file. If awaitLine is set, it waits for the
// first line of the output, which is returned and not logged.
func (p *processes) start(name, program string, awaitLine bool, args ...string) (*Process, string, error) {
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, "", errors.Wrap(err, "log file")
	}
	c := exec.Command(filepath.Join(p.bin, program), args...)
	c.Stderr = log
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, "", errors.Wrap(err, "pipe")
	}
	if err := c.Start(); err != nil {
		return nil, "", errors.Wrapf(err, "start %s", program)
	}
	proc := &Process{name: name, cmd: c, log: log, done: make(chan struct{})}
	p.mu.Lock()
	p.children = append(p.children, proc)
	p.mu.Unlock()
	first := make(chan string, 1)
	go func() {
		r := bufio.NewReader(out)
		line, _ := r.ReadString('\n') // a process that exits early may have printed nothing
		first <- strings.TrimSpace(line)
		_, _ = io.Copy(log, r)
		_ = c.Wait()
		close(proc.done)
	}()
	if !awaitLine {
		return proc, "", nil
	}
	select {
	case line := <-first:
		return proc, line, nil
	case <-time.After(firstLineTimeout):
		return nil, "", errors.Errorf("%s did not print its address in time", name)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process until Resume.
func (p *Process) Pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and returns the exit code. A process that does not exit in time is killed.
func (p *Process) Stop() int {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// killAll kills the processes that still run and closes the log files.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.children {
		if !proc.Exited() {
			proc.Kill()
		}
		_ = proc.log.Close()
	}
}

// listenAddress returns the address at the end of the line that a stub prints when it listens.
func listenAddress(line string) string {
	f := strings.Fields(line)
	if len(f) == 0 {
		return ""
	}
	return strings.TrimPrefix(f[len(f)-1], "http://")
}
