package client

import (
	"sync"
	"time"
)

// downTime is how long an address that refused a connection is skipped. Membership needs about as long to replace a
// node, and a refused connection costs little.
const downTime = time.Second

// nodePool holds the node addresses and the unused ids that each node issued. An id is used first through the node that
// issued it, because any other node has to forward the request there.
type nodePool struct {
	mu       sync.Mutex
	list     []*node
	current  int // index of the address in use
	maxIDAge time.Duration
}

type node struct {
	address        string
	downUntil      time.Time
	ids            []string
	idsRequestedAt time.Time

	fetching chan struct{} // non-nil while a batch of ids is fetched; closed when it has arrived
}

func newNodePool(addresses []string, maxIDAge time.Duration) *nodePool {
	n := &nodePool{maxIDAge: maxIDAge}
	for _, a := range addresses {
		n.list = append(n.list, &node{address: a})
	}
	return n
}

// choose returns the current address, or the next one, that is neither down nor in avoid. If there is none, it returns
// one that is down, because waiting would not help.
func (n *nodePool) choose(now time.Time, avoid map[string]bool) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	fallback := ""
	for i := range n.list {
		nd := n.list[(n.current+i)%len(n.list)]
		switch {
		case avoid[nd.address]:
		case now.Before(nd.downUntil):
			if fallback == "" {
				fallback = nd.address
			}
		default:
			return nd.address
		}
	}
	if fallback == "" {
		fallback = n.list[n.current].address
	}
	return fallback
}

// markDown marks the address as down for downTime and discards the ids that it issued.
func (n *nodePool) markDown(now time.Time, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, nd := range n.list {
		if nd.address == address {
			nd.downUntil, nd.ids = now.Add(downTime), nil
		}
	}
}

// switchFrom makes the next address the current one if the given address is the current one.
func (n *nodePool) switchFrom(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list[n.current].address == address {
		n.current = (n.current + 1) % len(n.list)
	}
}

// takeID returns an unused id issued by the address. If there is none, it returns a channel that is closed when the
// batch that is being fetched has arrived, or nil if the caller has to fetch a batch and pass it to storeIDs.
func (n *nodePool) takeID(now time.Time, address string) (string, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	nd := n.find(address)
	if now.Sub(nd.idsRequestedAt) > n.maxIDAge {
		nd.ids = nil
	}
	if len(nd.ids) > 0 {
		id := nd.ids[len(nd.ids)-1]
		nd.ids = nd.ids[:len(nd.ids)-1]
		return id, nil
	}
	if nd.fetching != nil {
		return "", nd.fetching
	}
	nd.fetching = make(chan struct{})
	return "", nil
}

// storeIDs stores issued ids. Their age counts from requestedAt, which is before they were issued.
func (n *nodePool) storeIDs(requestedAt time.Time, address string, ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	nd := n.find(address)
	nd.ids, nd.idsRequestedAt = ids, requestedAt
	close(nd.fetching)
	nd.fetching = nil
}

func (n *nodePool) find(address string) *node {
	for _, nd := range n.list {
		if nd.address == address {
			return nd
		}
	}
	return n.list[0]
}
