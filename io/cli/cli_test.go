package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/cli"
	"mustardmast/io/operator"
	"mustardmast/io/platform"
	"mustardmast/io/platform/stub"
	"mustardmast/io/store"
)

// world is a platform, some nodes, and the record of a session.
type world struct {
	t       *testing.T
	stub    *stub.Server
	crash   atomic.Bool // the platform goes down right after it has written the configuration
	url     string
	names   *strings.Replacer
	pairs   []string
	nodes   map[string]string // real admin addresses by the names in the session
	log     strings.Builder
	changes int
	minutes int
}

func (w *world) Now() time.Time {
	w.minutes++
	return time.Unix(1_800_000_000, 0).Add(time.Duration(w.minutes) * time.Minute)
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, stub: stub.New(), nodes: map[string]string{}}
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/config") && w.crash.CompareAndSwap(true, false) {
			w.stub.ServeHTTP(httptest.NewRecorder(), r)
			w.stub.SetFaults(stub.Faults{Down: true})
			panic(http.ErrAbortHandler)
		}
		w.stub.ServeHTTP(rw, r)
	}))
	t.Cleanup(srv.Close)
	w.url = srv.URL
	w.name(srv.URL, "http://platform")
	return w
}

func (w *world) name(from, to string) {
	w.pairs = append(w.pairs, from, to)
	w.names = strings.NewReplacer(w.pairs...)
}

func (w *world) platform() *platform.Client {
	c, err := platform.New(platform.Settings{URL: w.url, Timeout: 2 * time.Second, Backoff: time.Millisecond})
	assert.NilError(w.t, err)
	return c
}

// run runs one command as a user and records it.
func (w *world) run(user string, args ...string) int {
	var out, errs bytes.Buffer
	e := cli.Env{Out: &out, Err: &errs, In: strings.NewReader(""), User: user, Clock: w,
		NewID:    func() string { w.changes++; return fmt.Sprint("c", w.changes) },
		Platform: func(string) (mustardmast.Platform, error) { return w.platform(), nil },
		Node:     func(name string) (*operator.Client, error) { return operator.NewClient(w.nodes[name], time.Second) }}
	p := flags.NewNamedParser("mustardmast", flags.HelpFlag|flags.PassDoubleDash)
	assert.NilError(w.t, cli.AddCommands(p, e))
	_, err := p.ParseArgs(args)
	code := cli.Finish(e, err)
	line := "mustardmast"
	for _, a := range args {
		if strings.Contains(a, " ") {
			a = `"` + a + `"`
		}
		line += " " + a
	}
	fmt.Fprintf(&w.log, "%s$ %s\n%s", user, line, out.String())
	if errs.Len() > 0 {
		fmt.Fprintf(&w.log, "! %s\n", strings.ReplaceAll(strings.TrimSuffix(errs.String(), "\n"), "\n", "\n! "))
	}
	fmt.Fprintf(&w.log, "= %d\n\n", code)
	return code
}

func (w *world) apply(user, file string, expect int, why string, more ...string) int {
	return w.run(user, append([]string{"apply", "testdata/" + file, "--platform", w.url, "--expect", fmt.Sprint(expect), "--why", why}, more...)...)
}

func (w *world) note(s string) { fmt.Fprintf(&w.log, "# %s\n\n", s) }

func (w *world) golden(name string) { golden.Assert(w.t, w.names.Replace(w.log.String()), name) }

func (w *world) state() store.State {
	st, err := store.New(store.Settings{Platform: w.platform(), Clock: w}).Read(context.Background())
	assert.NilError(w.t, err)
	return st
}

// naiveApply writes the text over whatever is there, numbered from the platform alone, and believes the first answer.
func (w *world) naiveApply(file string) (uint64, error) {
	src, err := os.ReadFile("testdata/" + file)
	assert.NilError(w.t, err)
	st := w.state()
	st.Generation++
	st.Text = string(src)
	_, err = w.platform().Put(context.Background(), mustardmast.Object{Name: store.ObjectName, Version: st.Version, Value: store.Encode(st)})
	return st.Generation, err
}

// Guards against a bad text that gets in force, and an operator who has to run check once per fault.
func TestBadConfiguration(t *testing.T) {
	w := newWorld(t)
	w.run("ada", "check", "testdata/bad.json")
	w.run("ada", "check", "testdata/bad.json", "--output", "json")
	assert.Equal(t, w.apply("ada", "bad.json", 0, "first text", "--no-fleet"), cli.ExitInvalid)
	w.run("ada", "get", "--platform", w.url)
	assert.Equal(t, w.apply("ada", "one.json", 0, "first text", "--no-fleet"), cli.ExitOK)
	w.run("ada", "check", "testdata/one.json")
	w.run("ada", "diff", "testdata/two.json", "--platform", w.url)
	w.run("ada", "diff", "testdata/two.json", "--from", "testdata/one.json", "--output", "json")
	w.run("ada", "get", "--platform", w.url)
	w.golden("bad-configuration.golden")

	bad, err := os.ReadFile("testdata/bad.json")
	assert.NilError(t, err)
	var naive struct {
		Services map[string]struct {
			DependsOn []string `json:"depends-on"`
		}
	}
	assert.NilError(t, json.Unmarshal(bad, &naive), "the naive variant finds no fault in the same text")
}

// Guards against an operator whose change disappears, and one who is not told whose change came first.
func TestTwoOperators(t *testing.T) {
	w := newWorld(t)
	w.apply("ada", "one.json", 0, "first text", "--no-fleet")
	w.note("ada and bo both edit generation 1")
	assert.Equal(t, w.apply("bo", "two.json", 1, "maan-hall needs more", "--no-fleet"), cli.ExitOK)
	assert.Equal(t, w.apply("ada", "three.json", 1, "longer deadline", "--no-fleet"), cli.ExitConflict)
	w.apply("ada", "three.json", 1, "longer deadline", "--no-fleet", "--output", "json")
	w.run("ada", "history", "--platform", w.url)
	w.apply("ada", "three.json", 2, "longer deadline, bo agrees", "--no-fleet")
	before := w.stub.Counters()
	w.run("ada", "rollback", "--to", "2", "--why", "deadline was fine", "--platform", w.url, "--no-fleet")
	after := w.stub.Counters()
	// Two reads of the configuration, one of the text to restore, one of the slot that the replaced text goes to.
	assert.Equal(t, after.Gets-before.Gets, uint64(4))
	assert.Equal(t, after.Puts-before.Puts, uint64(2))
	w.run("ada", "rollback", "--to", "9", "--why", "no such", "--platform", w.url, "--no-fleet")
	w.run("ada", "history", "--platform", w.url, "--output", "json", "--limit", "2")
	w.golden("two-operators.golden")

	_, err := w.naiveApply("three.json")
	assert.NilError(t, err, "the naive variant writes over bo's change without a word")
	assert.Assert(t, !strings.Contains(w.state().Text, `"share-percent": 40`))
}

// Guards against an operator who is told that a change failed although it is in force, or the reverse.
func TestLostWriteResponse(t *testing.T) {
	w := newWorld(t)
	w.note("the response to the next write is lost")
	w.stub.SetFaults(stub.Faults{LoseResponses: 1})
	assert.Equal(t, w.apply("ada", "one.json", 0, "first text", "--no-fleet"), cli.ExitOK)
	w.note("the platform is down")
	w.stub.SetFaults(stub.Faults{Down: true})
	assert.Equal(t, w.apply("ada", "two.json", 1, "more for maan-hall", "--no-fleet"), cli.ExitFailed)
	w.note("the platform goes down after a write and before its response")
	w.stub.SetFaults(stub.Faults{})
	w.crash.Store(true)
	assert.Equal(t, w.apply("ada", "two.json", 1, "more for maan-hall", "--no-fleet", "--timeout", "1s"), cli.ExitUnknown)
	w.note("the platform is back")
	w.stub.SetFaults(stub.Faults{})
	w.run("ada", "history", "--platform", w.url)
	w.golden("lost-response.golden")

	w.stub.SetFaults(stub.Faults{LoseResponses: 1})
	g, err := w.naiveApply("three.json")
	assert.Equal(t, fault.KindOf(err), fault.WriteUnknown)
	assert.Equal(t, w.state().Generation, g, "the naive variant reports an error although the change is in force")
}

// node is a node that shows a generation.
type node struct {
	name, domain, alarm string
	generation          uint64
	draining            bool
}

func (n *node) Now() time.Time { return time.Unix(1_800_000_000, 0) }

func (n *node) Status(time.Time) operator.Status {
	return operator.Status{Name: n.name, FailureDomain: n.domain, Generation: n.generation, Alarm: n.alarm, Draining: n.draining,
		Load: mustardmast.Load{InFlight: 3, Limit: 140}, Levels: []operator.LevelStatus{{Priority: "low", Backer: "maan-hall", Level: 48}},
		Services: []operator.ServiceStatus{{Name: "gallery", Members: map[mustardmast.MemberState]int{mustardmast.Ready: 4, mustardmast.Draining: 1}}}}
}

func (n *node) Drain(context.Context) error { n.draining = true; return nil }

func (n *node) Explain(id string) (operator.Explanation, bool) {
	return operator.Explanation{RequestID: id, Outcome: "executed", Events: []operator.Event{{At: n.Now(), Name: "admitted", Detail: n.name}}}, id == "r1"
}

func (n *node) Entries(time.Time) []operator.Quarantined {
	return []operator.Quarantined{{Fingerprint: "f1", Method: "gallery/upload", Backer: "maan-hall", Crashes: 3, Blocked: true, ExpiresIn: time.Minute}}
}

func (n *node) Clear(time.Time, string) int { return 1 }

func (w *world) node(n *node) string {
	srv := httptest.NewServer(operator.New(n, operator.Ports{Status: n, Drain: n, Explain: n, Quarantine: n}))
	w.t.Cleanup(srv.Close)
	return w.address(srv, n.name)
}

// address gives a server a name of fixed length, because tables are aligned before names are replaced.
func (w *world) address(srv *httptest.Server, name string) string {
	real := strings.TrimPrefix(srv.URL, "http://")
	name += ":7002"
	w.nodes[name] = real
	w.name(real, name)
	return name
}

// Guards against a change that the fleet ignores because its number was used before the platform was set back.
func TestRestoredPlatform(t *testing.T) {
	w := newWorld(t)
	n := &node{name: "yard-1", domain: "quarry-yard", generation: 2}
	address := w.node(n)
	w.apply("ada", "one.json", 0, "first text", "--no-fleet")
	w.apply("ada", "two.json", 1, "more for maan-hall", "--no-fleet")
	w.note("the platform is set back to the state before the second change")
	assert.Assert(t, w.stub.Restore(1))
	n.alarm = "platform shows generation 1"
	w.run("ada", "status", "--node", address)
	w.run("ada", "get", "--platform", w.url, "--output", "json")
	assert.Equal(t, w.apply("ada", "three.json", 2, "longer deadline", "--node", address), cli.ExitConflict)
	w.apply("ada", "three.json", 1, "longer deadline")
	assert.Equal(t, w.apply("ada", "three.json", 1, "longer deadline", "--node", address), cli.ExitOK)
	w.run("ada", "history", "--platform", w.url)
	w.golden("restored-platform.golden")
	assert.Assert(t, w.state().Generation > n.generation)

	assert.Assert(t, w.stub.Restore(1))
	g, err := w.naiveApply("three.json")
	assert.NilError(t, err)
	assert.Assert(t, g <= n.generation, "the naive variant uses a number that the fleet has seen")
}

// Guards against a command about nodes that hides one that does not answer, and against help that does not help.
func TestNodesAndUsage(t *testing.T) {
	w := newWorld(t)
	a := w.node(&node{name: "yard-1", domain: "quarry-yard", generation: 12})
	b := w.node(&node{name: "hall-1", domain: "maan-hall", generation: 11})
	c := w.node(&node{name: "hall-2", domain: "maan-hall", generation: 12})
	gone := httptest.NewServer(nil)
	gone.Close()
	dead := w.address(gone, "wadi-1")
	assert.Equal(t, w.run("ada", "status", "--services", "--node", a, "--node", b, "--node", c, "--node", dead), cli.ExitFailed)
	w.run("ada", "status", "--output", "json", "--node", b)
	w.run("ada", "explain", "r1", "--node", a, "--node", b)
	w.run("ada", "explain", "r2", "--node", a)
	w.run("ada", "quarantine", "--node", a)
	w.run("ada", "quarantine", "--node", a, "--clear", "f1")
	w.run("ada", "drain", "--node", a)
	assert.Equal(t, w.apply("ada", "one.json", 0, "first text", "--node", dead), cli.ExitFailed)
	assert.Equal(t, w.state().Generation, uint64(0))
	for _, args := range [][]string{{"status"}, {"apply", "testdata/one.json"}, {"check"}, {"check", "testdata/none.json"}, {"reload"},
		{"history", "--platform", "x", "--limit", "0"}, {"diff", "testdata/one.json"}, {"apply", "--help"}} {
		w.run("ada", args...)
	}
	w.golden("nodes-and-usage.golden")
}

// Guards against a command that the page does not list.
func TestPageListsEveryCommand(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	assert.NilError(t, err)
	p := flags.NewNamedParser("mustardmast", flags.None)
	assert.NilError(t, cli.AddCommands(p, cli.ProcessEnv(&node{})))
	for _, c := range p.Commands() {
		assert.Assert(t, strings.Contains(string(page), "\n| `"+c.Name), "docs/configuration.md lacks the command %s", c.Name)
	}
}

// Guards against change ids that come twice, which would settle one operator's write by another's.
func TestProcessIDsDiffer(t *testing.T) {
	e := cli.ProcessEnv(&node{})
	a, b := e.NewID(), e.NewID()
	assert.Assert(t, a != b && len(a) == 32)
}

func ExampleExitCode() {
	fmt.Println(cli.ExitCode(nil), cli.ExitCode(fault.New(fault.Conflict, "")), cli.ExitCode(fault.New(fault.WriteUnknown, "")))
	// Output: 0 3 5
}
