package operator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/operator"
)

// node implements all ports.
type node struct {
	draining  bool
	announced []operator.Announcement
	entries   []operator.Quarantined
	panics    bool
}

func (n *node) Now() time.Time { return time.Unix(1_800_000_000, 0) }

func (n *node) Status(time.Time) operator.Status {
	if n.panics {
		panic("broken status")
	}
	return operator.Status{Name: "koper-a-1", ID: 0xfedcba9876543210, FailureDomain: "koper-a", Region: "adriatic", Generation: 12,
		Services: []operator.ServiceStatus{{Name: "socket-board", Members: map[mustardmast.MemberState]int{
			mustardmast.Ready: 5, mustardmast.Suspect: 1}}},
		Levels: []operator.LevelStatus{{Priority: "low", Backer: "north-quay", Level: 40}},
		Load:   mustardmast.Load{InFlight: 7, Queued: 2, Limit: 90}, Quarantined: len(n.entries), Draining: n.draining}
}

func (n *node) Drain(context.Context) error {
	if n.draining {
		return fault.New(fault.Draining, "the target is draining already")
	}
	n.draining = true
	return nil
}

func (n *node) Explain(id string) (operator.Explanation, bool) {
	return operator.Explanation{RequestID: id, Outcome: "executed",
		Events: []operator.Event{{At: n.Now(), Name: "admitted", Detail: "level 64"}}}, id == "r1"
}

func (n *node) Entries(time.Time) []operator.Quarantined { return n.entries }

func (n *node) Clear(_ time.Time, fingerprint string) int {
	if fingerprint == "f2" {
		return 0
	}
	cleared := len(n.entries)
	n.entries = nil
	return cleared
}

func (n *node) Announce(_ time.Time, a operator.Announcement) error {
	n.announced = append(n.announced, a)
	return nil
}

func (n *node) Ready() (bool, string) { return !n.draining, "draining" }

func serve(t testing.TB, n *node) *httptest.Server {
	set := metrics.NewSet()
	set.NewCounter("mustardmast_calls_total").Inc()
	srv := httptest.NewServer(operator.New(n, operator.Ports{Status: n, Drain: n, Explain: n, Quarantine: n, Targets: n, Readiness: n, Metrics: set}))
	t.Cleanup(srv.Close)
	return srv
}

// Guards against incompatible changes of the protocol, because command lines and targets are not upgraded together with
// nodes, and against error responses that do not state the allowed values.
func TestProtocol(t *testing.T) {
	n := &node{entries: []operator.Quarantined{{Fingerprint: "f1", Method: "gallery/upload", Backer: "north-quay", Crashes: 3, Blocked: true, ExpiresIn: time.Minute}}}
	srv := serve(t, n)
	var log strings.Builder
	for _, step := range [][3]string{
		{"GET", "/healthz"}, {"GET", "/readyz"}, {"GET", "/v1/status"}, {"GET", "/metrics"}, {"GET", "/v1/explain?id=r1"},
		{"GET", "/v1/explain?id=r2"}, {"GET", "/v1/explain"}, {"GET", "/v1/quarantine"}, {"DELETE", "/v1/quarantine?fingerprint=f2"},
		{"DELETE", "/v1/quarantine"}, {"GET", "/v1/quarantine"},
		{"POST", "/v1/targets", `{"address":"127.0.0.1:8080","service":"gallery","slots":140,"connections":900,"health-path":"/health","load-path":"/load","state":"ready"}`},
		{"POST", "/v1/targets", `{"address":"0.0.0.0:0","service":"Gallery","slots":0,"health-path":"health","load-path":"/load","state":"idle"}`},
		{"POST", "/v1/targets", `{"addr":"127.0.0.1:8080"}`},
		{"POST", "/v1/drain"}, {"POST", "/v1/drain"}, {"GET", "/readyz"}, {"PUT", "/v1/status"},
	} {
		req, err := http.NewRequest(step[0], srv.URL+step[1], strings.NewReader(step[2]))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		fmt.Fprintf(&log, "%s %s %s\n  %d %s\n", step[0], step[1], step[2], resp.StatusCode, strings.TrimSpace(string(body)))
	}
	golden.Assert(t, log.String(), "protocol.golden")
	resp, err := http.Get(srv.URL + "/debug/pprof/goroutine?debug=1")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against values that are lost between server and client, against wrong error kinds, and against a panic in a
// port that stops the server.
func TestClient(t *testing.T) {
	n := &node{entries: []operator.Quarantined{{Fingerprint: "f1", Crashes: 2, ExpiresIn: time.Minute}}}
	srv := serve(t, n)
	c, err := operator.NewClient(strings.TrimPrefix(srv.URL, "http://"), time.Second)
	assert.NilError(t, err)
	ctx := context.Background()
	st, err := c.Status(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, st, n.Status(n.Now()))
	q, err := c.Quarantined(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, q, n.entries)
	a := operator.Announcement{Address: netip.MustParseAddrPort("127.0.0.1:80"), Service: "gallery", Slots: 1, Connections: 2,
		HealthPath: "/h", LoadPath: "/l", Draining: true}
	period, err := c.Announce(ctx, a)
	assert.NilError(t, err)
	assert.Equal(t, period, operator.HeartbeatPeriod)
	assert.Assert(t, n.announced[0] == a)
	_, err = c.Explain(ctx, "r2")
	assert.Equal(t, fault.KindOf(err), fault.NotFound)
	n.panics = true
	_, err = c.Status(ctx)
	assert.Equal(t, fault.KindOf(err), fault.Internal)
	n.panics = false
	_, err = c.Drain(ctx)
	assert.NilError(t, err)
	srv.Close()
	_, err = c.Status(ctx)
	assert.Equal(t, fault.KindOf(err), fault.PeerUnreachable)
}

func ExampleClient() {
	n := &node{}
	srv := httptest.NewServer(operator.New(n, operator.Ports{Status: n}))
	defer srv.Close()
	c, _ := operator.NewClient(srv.URL, operator.DefaultTimeout)
	s, err := c.Status(context.Background())
	fmt.Println(s.FailureDomain, s.Generation, s.Services[0].Members[mustardmast.Ready], err)
	// Output: koper-a 12 5 <nil>
}
