// Package freeport finds addresses for servers whose address must be known before they listen, for tests and the demo.
package freeport

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports are taken from below the system's ephemeral range. A port of that range could be taken by an outgoing
// connection or by a listener on port 0 before the server listens on it.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// The first port is random, as other test processes allocate ports too.
func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// Addresses returns n addresses on ip whose ports were free when they were checked. A port is not returned again before
// all others of the range have been tried.
func Addresses(ip string, n int) ([]string, error) {
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
	return nil, errors.Errorf("fewer than %d free ports on %s", n, ip)
}
