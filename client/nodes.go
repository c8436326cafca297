package client

import (
	"sync"
	"time"
)

// downFor is how long an address that refused a connection is passed over. Membership needs about as long to replace
// a node, and a refused connection costs little.
const downFor = time.Second

// nodes are the node addresses and the ids that each of them issued. An id is used through the node that issued it
// first, because any other node has to forward the request there.
type nodes struct {
	mu    sync.Mutex
	list  []*node
	first int // index of the address in use
	life  time.Duration
}

type node struct {
	address string
	down    time.Time // until then
	ids     []string
	taken   time.Time

	fetching chan struct{} // closed and set to nil when the batch under way has come
}

func newNodes(addresses []string, life time.Duration) *nodes {
	n := &nodes{life: life}
	for _, a := range addresses {
		n.list = append(n.list, &node{address: a})
	}
	return n
}

// choose returns the address in use, or the next one that is neither down nor in avoid. If there is none it returns
// one that is down, because waiting would not be better.
func (n *nodes) choose(now time.Time, avoid map[string]bool) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	rest := ""
	for i := range n.list {
		c := n.list[(n.first+i)%len(n.list)]
		switch {
		case avoid[c.address]:
		case now.Before(c.down):
			if rest == "" {
				rest = c.address
			}
		default:
			return c.address
		}
	}
	if rest == "" {
		rest = n.list[n.first].address
	}
	return rest
}

// refused passes the address over for a while, with the ids that it issued.
func (n *nodes) refused(now time.Time, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.list {
		if c.address == address {
			c.down, c.ids = now.Add(downFor), nil
		}
	}
}

// leave makes the next address the one in use, if the given one is.
func (n *nodes) leave(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list[n.first].address == address {
		n.first = (n.first + 1) % len(n.list)
	}
}

// take returns an unused id issued by the address. Without one it returns a channel that closes when the batch that
// is under way has come, or nil if the caller has to fetch it and to report with fetched.
func (n *nodes) take(now time.Time, address string) (string, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.find(address)
	if now.Sub(c.taken) > n.life {
		c.ids = nil
	}
	if len(c.ids) > 0 {
		id := c.ids[len(c.ids)-1]
		c.ids = c.ids[:len(c.ids)-1]
		return id, nil
	}
	if c.fetching != nil {
		return "", c.fetching
	}
	c.fetching = make(chan struct{})
	return "", nil
}

// fetched stores issued ids. Their age counts from when they were asked for, which is before their issue.
func (n *nodes) fetched(asked time.Time, address string, ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.find(address)
	c.ids, c.taken = ids, asked
	close(c.fetching)
	c.fetching = nil
}

func (n *nodes) find(address string) *node {
	for _, c := range n.list {
		if c.address == address {
			return c
		}
	}
	return n.list[0]
}
