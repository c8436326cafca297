package stub

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"mustardmast/io/operator"
)

// Run announces the target to its node at every heartbeat period until ctx ends. Errors are ignored: the node may not
// have started yet, and the next heartbeat tries again.
func (t *Target) Run(ctx context.Context) {
	ticker := time.NewTicker(operator.HeartbeatPeriod)
	defer ticker.Stop()
	for {
		if !t.currentFaults().Silent {
			_ = t.Announce(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce sends one announcement.
func (t *Target) Announce(ctx context.Context) error {
	address, err := netip.ParseAddrPort(t.address())
	if err != nil {
		return errors.Wrap(err, "address of the target")
	}
	client, err := t.nodeClient()
	if err != nil {
		return err
	}
	slots := uint32(t.spec.Slots)
	_, err = client.Announce(ctx, operator.Announcement{
		Address: address, Service: t.spec.Service, Slots: slots, Connections: slots * 7,
		HealthPath: "/health", LoadPath: "/load", Draining: t.currentFaults().Draining,
	})
	return err
}

// nodeClient returns the client of the target's node. It is created once, so that heartbeats share a connection.
func (t *Target) nodeClient() (*operator.Client, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.admin != nil {
		return t.admin, nil
	}
	client, err := operator.NewClient(t.spec.AdminURL, operator.DefaultTimeout)
	t.admin = client
	return client, err
}

// SetAddress sets the address that the target announces, for servers whose address is not known to New.
func (t *Target) SetAddress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spec.Address = address
}

func (t *Target) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec.Address
}
