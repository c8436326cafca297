package sidecar_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/hostlink"
	"mustardmast/platform/storestub"
)

// restoreTime is the time within which a change that is written after the store was restored must be in force. It is as
// long as for a change that no watch was told of.
const restoreTime = 4 * time.Second

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
			c.configure(6, rule("/board/", "idempotent", 2, "board", 2)) // the operator writes again what was lost
			c.configure(9, rule("/board/", "idempotent", 2, "ledger", 2))
			assert.Equal(t, c.store.Revision(), seen)
			c.store.Hang(false)
			c.awaitVersion(9, restoreTime)
		})
	}
}
