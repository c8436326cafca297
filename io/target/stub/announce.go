package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// announcement is the wire form of what a target says of itself.
type announcement struct {
	Address     string `json:"address"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	HealthPath  string `json:"health-path"`
	LoadPath    string `json:"load-path"`
	State       string `json:"state"`
}

// Run announces the target to its node until ctx ends. Errors are not reported: the node may not have started yet, and
// the next heartbeat tries again.
func (t *Target) Run(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		if !t.current().Silent {
			_ = t.Announce(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce sends one announcement.
func (t *Target) Announce(ctx context.Context) error {
	a := announcement{
		Address: t.address(), Service: t.spec.Service, Slots: t.spec.Slots, Connections: t.spec.Slots * 7,
		HealthPath: "/health", LoadPath: "/load", State: "ready",
	}
	if t.current().Draining {
		a.State = "draining"
	}
	b, err := json.Marshal(a)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.spec.Admin+"/v1/targets", bytes.NewReader(b))
	if err != nil {
		return err
	}
	res, err := t.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("announce to %s: %s", t.spec.Admin, res.Status)
	}
	return nil
}

// SetAddress sets the address that the target announces, for servers whose address is known late.
func (t *Target) SetAddress(a string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spec.Address = a
}

func (t *Target) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec.Address
}
