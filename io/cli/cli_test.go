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

// session is a platform, some nodes, and the transcript of the commands run against them.
type session struct {
	t       *testing.T
	stub    *stub.Server
	crash   atomic.Bool // the platform goes down after the next write of the configuration, before it responds
	url     string
	names   *strings.Replacer
	pairs   []string
	nodes   map[string]string // actual admin addresses by their names in the transcript
	log     strings.Builder
	changes int
	minutes int
}

func (s *session) Now() time.Time {
	s.minutes++
	return time.Unix(1_800_000_000, 0).Add(time.Duration(s.minutes) * time.Minute)
}

func newSession(t *testing.T) *session {
	s := &session{t: t, stub: stub.New(), nodes: map[string]string{}}
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/config") && s.crash.CompareAndSwap(true, false) {
			s.stub.ServeHTTP(httptest.NewRecorder(), r)
			s.stub.SetFaults(stub.Faults{Down: true})
			panic(http.ErrAbortHandler)
		}
		s.stub.ServeHTTP(rw, r)
	}))
	t.Cleanup(srv.Close)
	s.url = srv.URL
	s.name(srv.URL, "http://platform")
	return s
}

func (s *session) name(from, to string) {
	s.pairs = append(s.pairs, from, to)
	s.names = strings.NewReplacer(s.pairs...)
}

func (s *session) platform() *platform.Client {
	c, err := platform.New(platform.Settings{URL: s.url, Timeout: 2 * time.Second, Backoff: time.Millisecond})
	assert.NilError(s.t, err)
	return c
}

// run runs a command as a user and adds it to the transcript.
func (s *session) run(user string, args ...string) int {
	var out, errs bytes.Buffer
	e := cli.Env{Out: &out, Err: &errs, In: strings.NewReader(""), User: user, Clock: s,
		NewID:    func() string { s.changes++; return fmt.Sprint("c", s.changes) },
		Platform: func(string) (mustardmast.Platform, error) { return s.platform(), nil },
		Node:     func(name string) (*operator.Client, error) { return operator.NewClient(s.nodes[name], time.Second) }}
	p := flags.NewNamedParser("mustardmast", flags.HelpFlag|flags.PassDoubleDash)
	assert.NilError(s.t, cli.AddCommands(p, e))
	_, err := p.ParseArgs(args)
	code := cli.Finish(e, err)
	line := "mustardmast"
	for _, a := range args {
		if strings.Contains(a, " ") {
			a = `"` + a + `"`
		}
		line += " " + a
	}
	fmt.Fprintf(&s.log, "%s$ %s\n%s", user, line, out.String())
	if errs.Len() > 0 {
		fmt.Fprintf(&s.log, "! %s\n", strings.ReplaceAll(strings.TrimSuffix(errs.String(), "\n"), "\n", "\n! "))
	}
	fmt.Fprintf(&s.log, "= %d\n\n", code)
	return code
}

func (s *session) apply(user, file string, expect int, why string, more ...string) int {
	return s.run(user, append([]string{"apply", "testdata/" + file, "--platform", s.url, "--expect", fmt.Sprint(expect), "--why", why}, more...)...)
}

func (s *session) note(text string) { fmt.Fprintf(&s.log, "# %s\n\n", text) }

func (s *session) golden(name string) { golden.Assert(s.t, s.names.Replace(s.log.String()), name) }

func (s *session) state() store.State {
	st, err := store.New(store.Settings{Platform: s.platform(), Clock: s}).Read(context.Background())
	assert.NilError(s.t, err)
	return st
}

// naiveApply overwrites the configuration without checking the generation that the edit started from, takes the next
// generation from the platform alone, and relies on the response to a single write.
func (s *session) naiveApply(file string) (uint64, error) {
	src, err := os.ReadFile("testdata/" + file)
	assert.NilError(s.t, err)
	st := s.state()
	st.Generation++
	st.Text = string(src)
	_, err = s.platform().Put(context.Background(), mustardmast.Object{Name: store.ObjectName, Version: st.Version, Value: store.Encode(st)})
	return st.Generation, err
}

// Guards against an invalid text that is accepted, and against a check that reports only the first fault.
func TestBadConfiguration(t *testing.T) {
	s := newSession(t)
	s.run("ada", "check", "testdata/bad.json")
	s.run("ada", "check", "testdata/bad.json", "--output", "json")
	assert.Equal(t, s.apply("ada", "bad.json", 0, "first text", "--no-fleet"), cli.ExitInvalid)
	s.run("ada", "get", "--platform", s.url)
	assert.Equal(t, s.apply("ada", "one.json", 0, "first text", "--no-fleet"), cli.ExitOK)
	s.run("ada", "check", "testdata/one.json")
	s.run("ada", "diff", "testdata/two.json", "--platform", s.url)
	s.run("ada", "diff", "testdata/two.json", "--from", "testdata/one.json", "--output", "json")
	s.run("ada", "get", "--platform", s.url)
	s.golden("bad-configuration.golden")

	bad, err := os.ReadFile("testdata/bad.json")
	assert.NilError(t, err)
	var naive struct {
		Services map[string]struct {
			DependsOn []string `json:"depends-on"`
		}
	}
	assert.NilError(t, json.Unmarshal(bad, &naive), "the naive variant finds no fault in the same text")
}

// Guards against a lost update when two operators edit the same generation, and against a conflict message that does
// not name the other change.
func TestTwoOperators(t *testing.T) {
	s := newSession(t)
	s.apply("ada", "one.json", 0, "first text", "--no-fleet")
	s.note("ada and bo both edit generation 1")
	assert.Equal(t, s.apply("bo", "two.json", 1, "maan-hall needs more", "--no-fleet"), cli.ExitOK)
	assert.Equal(t, s.apply("ada", "three.json", 1, "longer deadline", "--no-fleet"), cli.ExitConflict)
	s.apply("ada", "three.json", 1, "longer deadline", "--no-fleet", "--output", "json")
	s.run("ada", "history", "--platform", s.url)
	s.apply("ada", "three.json", 2, "longer deadline, bo agrees", "--no-fleet")
	before := s.stub.Counters()
	s.run("ada", "rollback", "--to", "2", "--why", "deadline was fine", "--platform", s.url, "--no-fleet")
	after := s.stub.Counters()
	// Two reads of the configuration, one of the text to restore, one of the slot that stores the replaced text.
	assert.Equal(t, after.Gets-before.Gets, uint64(4))
	assert.Equal(t, after.Puts-before.Puts, uint64(2))
	s.run("ada", "rollback", "--to", "9", "--why", "no such", "--platform", s.url, "--no-fleet")
	s.run("ada", "history", "--platform", s.url, "--output", "json", "--limit", "2")
	s.golden("two-operators.golden")

	_, err := s.naiveApply("three.json")
	assert.NilError(t, err, "the naive variant overwrites bo's change without an error")
	assert.Assert(t, !strings.Contains(s.state().Text, `"share-percent": 40`))
}

// Guards against reporting that a change failed although it is in force, or the reverse.
func TestLostWriteResponse(t *testing.T) {
	s := newSession(t)
	s.note("the response to the next write is lost")
	s.stub.SetFaults(stub.Faults{LoseResponses: 1})
	assert.Equal(t, s.apply("ada", "one.json", 0, "first text", "--no-fleet"), cli.ExitOK)
	s.note("the platform is down")
	s.stub.SetFaults(stub.Faults{Down: true})
	assert.Equal(t, s.apply("ada", "two.json", 1, "more for maan-hall", "--no-fleet"), cli.ExitFailed)
	s.note("the platform goes down after a write and before its response")
	s.stub.SetFaults(stub.Faults{})
	s.crash.Store(true)
	assert.Equal(t, s.apply("ada", "two.json", 1, "more for maan-hall", "--no-fleet", "--timeout", "1s"), cli.ExitUnknown)
	s.note("the platform is back")
	s.stub.SetFaults(stub.Faults{})
	s.run("ada", "history", "--platform", s.url)
	s.golden("lost-response.golden")

	s.stub.SetFaults(stub.Faults{LoseResponses: 1})
	g, err := s.naiveApply("three.json")
	assert.Equal(t, fault.KindOf(err), fault.WriteUnknown)
	assert.Equal(t, s.state().Generation, g, "the naive variant reports an error although the change is in force")
}

// node is a fake node with a fixed status.
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

func (s *session) node(n *node) string {
	srv := httptest.NewServer(operator.New(n, operator.Ports{Status: n, Drain: n, Explain: n, Quarantine: n}))
	s.t.Cleanup(srv.Close)
	return s.address(srv, n.name)
}

// address gives a server a name of fixed length, because the columns of tables are aligned before addresses are
// replaced in the transcript.
func (s *session) address(srv *httptest.Server, name string) string {
	actual := strings.TrimPrefix(srv.URL, "http://")
	name += ":7002"
	s.nodes[name] = actual
	s.name(actual, name)
	return name
}

// Guards against a change that the fleet ignores because its generation was already used before the platform was
// restored to an older state.
func TestRestoredPlatform(t *testing.T) {
	s := newSession(t)
	n := &node{name: "yard-1", domain: "quarry-yard", generation: 2}
	address := s.node(n)
	s.apply("ada", "one.json", 0, "first text", "--no-fleet")
	s.apply("ada", "two.json", 1, "more for maan-hall", "--no-fleet")
	s.note("the platform is set back to the state before the second change")
	assert.Assert(t, s.stub.Restore(1))
	n.alarm = "platform shows generation 1"
	s.run("ada", "status", "--node", address)
	s.run("ada", "get", "--platform", s.url, "--output", "json")
	assert.Equal(t, s.apply("ada", "three.json", 2, "longer deadline", "--node", address), cli.ExitConflict)
	s.apply("ada", "three.json", 1, "longer deadline")
	assert.Equal(t, s.apply("ada", "three.json", 1, "longer deadline", "--node", address), cli.ExitOK)
	s.run("ada", "history", "--platform", s.url)
	s.golden("restored-platform.golden")
	assert.Assert(t, s.state().Generation > n.generation)

	assert.Assert(t, s.stub.Restore(1))
	g, err := s.naiveApply("three.json")
	assert.NilError(t, err)
	assert.Assert(t, g <= n.generation, "the naive variant uses a number that the fleet has seen")
}

// Guards against commands that hide a node that does not respond, and against unclear usage messages.
func TestNodesAndUsage(t *testing.T) {
	s := newSession(t)
	a := s.node(&node{name: "yard-1", domain: "quarry-yard", generation: 12})
	b := s.node(&node{name: "hall-1", domain: "maan-hall", generation: 11})
	c := s.node(&node{name: "hall-2", domain: "maan-hall", generation: 12})
	gone := httptest.NewServer(nil)
	gone.Close()
	dead := s.address(gone, "wadi-1")
	assert.Equal(t, s.run("ada", "status", "--services", "--node", a, "--node", b, "--node", c, "--node", dead), cli.ExitFailed)
	s.run("ada", "status", "--output", "json", "--node", b)
	s.run("ada", "explain", "r1", "--node", a, "--node", b)
	s.run("ada", "explain", "r2", "--node", a)
	s.run("ada", "quarantine", "--node", a)
	s.run("ada", "quarantine", "--node", a, "--clear", "f1")
	s.run("ada", "drain", "--node", a)
	assert.Equal(t, s.apply("ada", "one.json", 0, "first text", "--node", dead), cli.ExitFailed)
	assert.Equal(t, s.state().Generation, uint64(0))
	for _, args := range [][]string{{"status"}, {"apply", "testdata/one.json"}, {"check"}, {"check", "testdata/none.json"}, {"reload"},
		{"history", "--platform", "x", "--limit", "0"}, {"diff", "testdata/one.json"}, {"apply", "--help"}} {
		s.run("ada", args...)
	}
	s.golden("nodes-and-usage.golden")
}

// Guards against a command that is missing on the page docs/configuration.md.
func TestPageListsEveryCommand(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	assert.NilError(t, err)
	p := flags.NewNamedParser("mustardmast", flags.None)
	assert.NilError(t, cli.AddCommands(p, cli.ProcessEnv(&node{})))
	for _, c := range p.Commands() {
		assert.Assert(t, strings.Contains(string(page), "\n| `"+c.Name), "docs/configuration.md lacks the command %s", c.Name)
	}
}

// Guards against duplicate change ids. A write of unknown outcome would be taken for accepted if another change had its
// id.
func TestProcessIDsDiffer(t *testing.T) {
	e := cli.ProcessEnv(&node{})
	a, b := e.NewID(), e.NewID()
	assert.Assert(t, a != b && len(a) == 32)
}

func ExampleExitCode() {
	fmt.Println(cli.ExitCode(nil), cli.ExitCode(fault.New(fault.Conflict, "")), cli.ExitCode(fault.New(fault.WriteUnknown, "")))
	// Output: 0 3 5
}
