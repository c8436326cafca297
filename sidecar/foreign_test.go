package sidecar_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Another writer has left an entry among those of the hosts that encoding/json cannot decode. Guards against nodes that
// start beside it and never become ready, and against an entry that they read again and again.
func TestNodesStartBesideOddHostEntry(t *testing.T) {
	c := newCluster(t)
	c.store.Put("mustardmast-hosts", "a", json.RawMessage(strings.Repeat(`{"a":[`, 20_000)+strings.Repeat(`]}`, 20_000)))
	c.store.Put("mustardmast-hosts", "z", json.RawMessage(`{"address":"10.0.0.9:70000","service":"board","started-ms":1e400}`))
	entry, _ := c.add("ledger", "a"), c.add("board", "a")
	_, resp, _ := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	lists := c.store.Lists("mustardmast-hosts")
	time.Sleep(time.Second)
	assert.Equal(t, c.store.Lists("mustardmast-hosts"), lists)
}
