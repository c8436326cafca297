package freeport_test

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/internal/freeport"
)

// Guards against a server that cannot listen because a test beside it was given its port in the meantime.
func TestPortsAreBelowTheEphemeralRange(t *testing.T) {
	const usualFirst = 32_768
	first := usualFirst
	if b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		first, err = strconv.Atoi(strings.Fields(string(b))[0])
		assert.NilError(t, err)
	}
	seen := map[string]bool{}
	for range 40 {
		addresses, err := freeport.Addresses("127.0.0.1", 3)
		assert.NilError(t, err)
		assert.Equal(t, len(addresses), 3)
		for _, a := range addresses {
			assert.Assert(t, !seen[a], "%s was returned twice", a)
			seen[a] = true
			port := int(netip.MustParseAddrPort(a).Port())
			assert.Assert(t, port < first, "port %d is in the ephemeral range, from %d", port, first)
		}
	}
}
