package sidecar_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/hostlink"
	"mustardmast/platform/storestub"
)

// restoreTime is the time within which a change that is written after the store was restored must be in force. It is as
// long as for a change that no watch was told of.
const restoreTime = 4 * time.Second

// maxWatch is the longest time for which a watch can go without a response, after which its node notices a restore.
const maxWatch = 31 * time.Second

// versions returns the version of the configuration on each node, asked without a request, whose reply would spread it.
func (c *cluster) versions() []uint64 {
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	var out []uint64
	for _, h := range c.hosts {
		reply, err := link.Exchange(context.Background(), h.ip+":7620", hostlink.GossipMessage{})
		if err != nil {
			reply.Version = 0
		}
		out = append(out, reply.Version)
	}
	return out
}

func (c *cluster) awaitVersion(version uint64, within time.Duration) {
	c.t.Helper()
	eventually(c.t, within, func() bool {
		return !slices.ContainsFunc(c.versions(), func(v uint64) bool { return v != version })
	})
}

// The store is restored from a copy, and its revisions reach those of before while the watches of the nodes wait or the
// nodes cannot reach it. Guards against a change that no node has in force, since its revision is one that the nodes have
// seen before.
func TestChangeAtReusedRevision(t *testing.T) {
	const hosts = 8
	for name, watches := range map[string]storestub.Watches{"cut": storestub.WatchesCut, "silent": storestub.WatchesSilent, "kept": storestub.WatchesKept} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			for n := range hosts {
				c.add([]string{"board", "ledger"}[n%2], string(rune('a'+n%3)))
			}
			copied := c.store.Copy()
			c.configure(4, rule("/board/", "idempotent", 2, "ledger", 2))
			c.configure(6, rule("/board/", "idempotent", 2, "board", 2))
			c.awaitVersion(6, restoreTime)
			seen := c.store.Revision()
			c.store.Hang(true)
			c.store.Restore(copied, watches)
			c.writeAgain()
			c.configure(9, rule("/board/", "idempotent", 2, "ledger", 2))
			assert.Equal(t, c.store.Revision(), seen)
			c.store.Hang(false)
			c.awaitVersion(9, restoreTime)
		})
	}
}

// The restored store has an older configuration until the operator writes the latest one again. Guards against a node that
// goes back to it, and against one that starts meanwhile and keeps it.
func TestOlderConfigurationInRestoredStore(t *testing.T) {
	c := newCluster(t)
	c.add("board", "a")
	restarted := c.add("ledger", "b")
	copied := c.store.Copy()
	c.configure(6, rule("/board/", "idempotent", 2, "ledger", 2))
	c.awaitVersion(6, restoreTime)
	c.store.Restore(copied, storestub.WatchesCut)
	restarted.stop()
	<-restarted.ended
	restarted.start()
	restarted.awaitReadiness(http.StatusOK)
	c.add("board", "c")
	c.awaitVersion(6, restoreTime)
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		assert.DeepEqual(t, c.versions(), []uint64{6, 6, 6})
	}
	c.writeAgain()
	c.configure(9, rule("/board/", "idempotent", 2, "board", 2))
	c.awaitVersion(9, restoreTime)
}

// A restore loses the entries of all hosts. Guards against a host that joins afterwards and that no other host knows.
func TestHostJoinsAfterRestore(t *testing.T) {
	c := newCluster(t)
	copied := c.store.Copy()
	c.add("board", "a")
	entry := c.add("ledger", "b")
	c.store.Restore(copied, storestub.WatchesCut)
	joined := c.add("board", "c") // waits until the others know it
	eventually(t, restoreTime, func() bool {
		_, resp, _ := joined.send("POST", "/ledger/", nil, nil)
		return resp.StatusCode == http.StatusOK
	})
	eventually(t, restoreTime, func() bool {
		id, _, _ := entry.send("GET", "/board/", nil, nil)
		return joined.target.runCount(id) == 1
	})
	eventually(t, restoreTime, func() bool { return len(c.store.Names("mustardmast-hosts")) == len(c.hosts) })
}

// A host leaves for good, and the restored store has its entry again. Guards against a host that has left in use again, by
// those that knew it and by one that joins later.
func TestHostThatLeftBeforeRestore(t *testing.T) {
	c := newCluster(t)
	c.add("ledger", "a")
	c.add("board", "b")
	leaving := c.add("board", "c")
	copied := c.store.Copy()
	leaving.deregister()
	leaving.stop()
	<-leaving.ended
	c.hosts = c.hosts[:2]
	assert.Equal(t, len(c.store.Names("mustardmast-hosts")), 2)
	c.store.Restore(copied, storestub.WatchesCut)
	c.add("board", "d")
	for _, h := range c.hosts {
		eventually(t, restoreTime, func() bool { return !slices.Contains(h.knownHosts(), "node-"+leaving.ip) })
	}
	for range 50 {
		id, resp, _ := c.hosts[0].send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, leaving.target.runCount(id), 0)
	}
}

// The store is restored while a host leaves for good. Guards against a host that writes its entry again after it has
// removed it.
func TestHostThatLeavesDuringRestore(t *testing.T) {
	c := newCluster(t)
	copied := c.store.Copy()
	staying, leaving := c.add("ledger", "a"), c.add("board", "b")
	leaving.deregister()
	leaving.stop()
	eventually(t, restoreTime, func() bool { return len(c.store.Names("mustardmast-hosts")) == 1 })
	c.store.Restore(copied, storestub.WatchesCut)
	<-leaving.ended
	eventually(t, restoreTime, func() bool { return len(c.store.Names("mustardmast-hosts")) > 0 })
	assert.DeepEqual(t, c.store.Names("mustardmast-hosts"), []string{"node-" + staying.ip})
}

// knownHosts returns the names of the hosts that the node of a host knows.
func (h *host) knownHosts() []string {
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	// Digests of nodes are odd. Digest 2 therefore differs from the node's, and its reply has all hosts that it knows.
	reply, err := link.Exchange(context.Background(), h.ip+":7620", hostlink.GossipMessage{Digest: 2})
	assert.Check(h.c.t, err)
	var names []string
	for _, r := range reply.Hosts {
		names = append(names, r.Host)
	}
	return names
}

// restoreFaults are the kinds of faults of TestSoakRestoredStore.
var restoreFaults = []string{"restore", "restore", "restore", "kill", "pause", "term", "configure", "configure", "slow-link", "reset-link", "one-way-link", "stalled-link", "missed-change"}

// restoreStore restores the store, after other faults and an outage, from a copy that is made now or that has no hosts. The
// operator writes its configuration again, and may change it before the nodes reach the store.
func (r *soakRun) restoreStore(wg *sync.WaitGroup, duration time.Duration) {
	copied := r.store.Copy()
	if r.random.IntN(3) == 0 {
		copied = r.empty
	}
	watches, changes := storestub.Watches(r.random.IntN(3)), r.random.IntN(4)
	wg.Go(func() {
		time.Sleep(2 * duration)
		r.store.Hang(true)
		time.Sleep(duration / 2)
		r.store.Restore(copied, watches)
		r.writeAgain()
		for n := range changes {
			r.write(1, []string{"board", "ledger"}[n%2])
		}
		r.store.Hang(false)
	})
}

// Guards against a node that does not follow the configuration after restores of the store, or that other nodes can no
// longer find, whether it lived, was restarted, joined, or was cut off meanwhile.
func TestSoakRestoredStore(t *testing.T) {
	program := buildProgram(t)
	runSeeds(t, []uint64{1, 2}, func(t *testing.T, seed uint64) {
		r := soakOnce(t, program, restoreFaults, seed)
		r.addEchoHost() // waits until the others know it
		joined := r.hosts[len(r.hosts)-1]
		eventually(t, restoreTime, func() bool {
			_, a, _ := joined.send("GET", "/new/", nil, nil)
			_, b, _ := joined.send("POST", "/ledger/", nil, nil)
			return a.StatusCode == http.StatusOK && b.StatusCode == http.StatusOK
		})
		eventually(t, maxWatch, func() bool { return len(r.store.Names("mustardmast-hosts")) == len(r.hosts) })
	})
}
