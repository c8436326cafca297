package deploy

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	firstLineWait = 10 * time.Second
	stopWait      = 15 * time.Second
)

// Process is one child process.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// processes are the children of a deployment.
type processes struct {
	bin, dir string
	mu       sync.Mutex
	list     []*Process
}

// start runs a program of the bin directory with its output in a file. If it prints, the first line is returned.
func (p *processes) start(name, program string, prints bool, args ...string) (*Process, string, error) {
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
	x := &Process{name: name, cmd: c, log: log, done: make(chan struct{})}
	p.mu.Lock()
	p.list = append(p.list, x)
	p.mu.Unlock()
	first := make(chan string, 1)
	go func() {
		r := bufio.NewReader(out)
		line, _ := r.ReadString('\n') // a process that ends early has printed nothing
		first <- strings.TrimSpace(line)
		_, _ = io.Copy(log, r)
		_ = c.Wait()
		close(x.done)
	}()
	if !prints {
		return x, "", nil
	}
	select {
	case line := <-first:
		return x, line, nil
	case <-time.After(firstLineWait):
		return nil, "", errors.Errorf("%s printed nothing", name)
	}
}

// Kill ends the process at once.
func (x *Process) Kill() {
	_ = x.cmd.Process.Signal(syscall.SIGKILL)
	<-x.done
}

// Pause pauses the process; Resume lets it go on.
func (x *Process) Pause() { _ = x.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume ends a Pause.
func (x *Process) Resume() { _ = x.cmd.Process.Signal(syscall.SIGCONT) }

// Stop asks the process to stop and returns its exit code.
func (x *Process) Stop() int {
	_ = x.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-x.done:
	case <-time.After(stopWait):
		x.Kill()
	}
	return x.cmd.ProcessState.ExitCode()
}

// Exited reports whether the process has ended.
func (x *Process) Exited() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// end kills whatever still runs.
func (p *processes) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		if !x.Exited() {
			x.Kill()
		}
		_ = x.log.Close()
	}
}

// Ports are taken from below the range from which the system takes the ports of connections and of listeners that ask
// for any. A port of that range can be gone before the node listens on it.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) } // other test processes take ports too

// freePorts returns n addresses on ip whose ports were free a moment ago. No port is returned twice in a while.
func freePorts(ip string, n int) ([]string, error) {
	var addrs []string
	for range lastPort - firstPort {
		a := net.JoinHostPort(ip, strconv.FormatInt(firstPort+nextPort.Add(1)%(lastPort-firstPort), 10))
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		if addrs = append(addrs, a); len(addrs) == n {
			return addrs, nil
		}
	}
	return nil, errors.Errorf("no %d free ports on %s", n, ip)
}

func lastWord(s string) string {
	f := strings.Fields(s)
	if len(f) == 0 {
		return ""
	}
	return strings.TrimPrefix(f[len(f)-1], "http://")
}
