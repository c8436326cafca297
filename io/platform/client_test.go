package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/platform"
	"mustardmast/io/platform/stub"
)

func client(t testing.TB, h http.Handler, set *metrics.Set) *platform.Client {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c, err := platform.New(platform.Settings{URL: srv.URL, Timeout: 2 * time.Second, PollWait: 50 * time.Millisecond,
		Backoff: time.Millisecond, Rand: rand.New(rand.NewPCG(1, 2)), Meter: platform.NewMetrics(set)})
	assert.NilError(t, err)
	return c
}

func put(name string, version uint64, value string) mustardmast.Object {
	return mustardmast.Object{Name: name, Version: version, Value: []byte(value)}
}

// Guards against a write that is reported as failed although it took effect, against a write that is sent twice, and
// against wrong error kinds.
func TestErrorKinds(t *testing.T) {
	s := stub.New()
	set := metrics.NewSet()
	c := client(t, s, set)
	ctx := context.Background()
	_, err := c.Get(ctx, "seeds/koper-a")
	assert.Equal(t, fault.KindOf(err), fault.NotFound)
	o, err := c.Put(ctx, put("seeds/koper-a", 0, "x"))
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(1))
	_, err = c.Put(ctx, put("seeds/koper-a", 0, "y"))
	assert.Equal(t, fault.KindOf(err), fault.Conflict)
	_, err = c.Put(ctx, put("big", 0, strings.Repeat("x", platform.MaxValueBytes+1)))
	assert.Equal(t, fault.KindOf(err), fault.BadRequest)

	s.SetFaults(stub.Faults{LoseResponses: 1})
	putsBefore := s.Counters().Puts
	_, err = c.Put(ctx, put("seeds/koper-a", 1, "z"))
	assert.Equal(t, fault.KindOf(err), fault.WriteUnknown)
	assert.Equal(t, s.Counters().Puts-putsBefore, uint64(1))
	o, err = c.Get(ctx, "seeds/koper-a")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "z")

	s.SetFaults(stub.Faults{Down: true})
	_, err = c.Put(ctx, put("seeds/koper-a", 2, "w"))
	assert.Equal(t, fault.KindOf(err), fault.PlatformUnavailable)
	gets := s.Counters().Gets
	_, err = c.Get(ctx, "seeds/koper-a")
	assert.Equal(t, fault.KindOf(err), fault.PlatformUnavailable)
	assert.Equal(t, s.Counters().Gets-gets, uint64(platform.DefaultAttempts))

	var out bytes.Buffer
	set.WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), `mustardmast_platform_calls_total{call="put",result="write-unknown"} 1`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `mustardmast_platform_waiting_watches 0`))
}

// Guards against reporting write-unknown if no connection was established, in which case nothing was written.
func TestNoConnectionMeansNothingWritten(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	c, err := platform.New(platform.Settings{URL: srv.URL})
	assert.NilError(t, err)
	_, err = c.Put(context.Background(), put("config", 0, "x"))
	assert.Equal(t, fault.KindOf(err), fault.PlatformUnavailable)
}

// Guards against deducing the outcome of a write from statuses that do not determine it.
func TestAmbiguousStatusIsUnknown(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusOK,
		http.StatusTemporaryRedirect} {
		writes := 0
		c := client(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writes++
			w.Header().Set("Location", "/v1/objects/other")
			w.WriteHeader(status)
		}), metrics.NewSet())
		_, err := c.Put(context.Background(), put("config", 0, "x"))
		assert.Equal(t, fault.KindOf(err), fault.WriteUnknown, "status %d", status)
		assert.Equal(t, writes, 1)
	}
}

// Guards against a watch that misses a change, including one to a lower version, and against more than one waiting call
// at a time.
func TestWatch(t *testing.T) {
	s := stub.New()
	c := client(t, s, metrics.NewSet())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() {
		time.Sleep(130 * time.Millisecond) // longer than one poll
		_, _ = c.Put(ctx, put("config", 0, "one"))
	}()
	o, err := c.Watch(ctx, "config", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "one")
	_, err = c.Put(ctx, put("config", 1, "two"))
	assert.NilError(t, err)
	time.AfterFunc(20*time.Millisecond, func() { s.Restore(1) })
	o, err = c.Watch(ctx, "config", 2)
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(1))
	assert.Equal(t, s.Counters().MaxWaitingWatches, 1)
}

func ExampleNew() {
	srv := httptest.NewServer(stub.New())
	defer srv.Close()
	c, err := platform.New(platform.Settings{URL: srv.URL})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx := context.Background()
	_, _ = c.Put(ctx, mustardmast.Object{Name: "seeds/koper-a", Value: []byte("10.0.0.1:7000")})
	o, _ := c.Get(ctx, "seeds/koper-a")
	_, err = c.Put(ctx, mustardmast.Object{Name: "seeds/koper-a", Version: 7})
	fmt.Printf("version %d: %s\n%v\n", o.Version, o.Value, err)
	// Output:
	// version 1: 10.0.0.1:7000
	// conflict: object "seeds/koper-a" no longer has version 7
}

// Guards against a change that is not in force in time because the connection of a watch has gone silent. Of the 8 s that
// a change may take, 2 s are for its propagation from the watchers to the other nodes.
func TestChangeWhileWatchIsSilent(t *testing.T) {
	s := stub.New()
	var watches atomic.Int32
	released := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") && watches.Add(1) == 1 {
			<-released
			return
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(released) })
	c, err := platform.New(platform.Settings{URL: srv.URL})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	time.AfterFunc(100*time.Millisecond, func() {
		_, err := c.Put(ctx, put("config", 0, "x"))
		assert.Check(t, err)
	})
	start := time.Now()
	o, err := c.Watch(ctx, "config", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "x")
	assert.Assert(t, time.Since(start) <= 6*time.Second, "learned of the change after %v", time.Since(start))
}
