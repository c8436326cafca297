// Package daemon is the node as a process: its data path, its control service, its admin server, and the planned stop.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/member"
	"mustardmast/core/quarantine"
	"mustardmast/io/control"
	"mustardmast/io/eventlog"
	"mustardmast/io/settings"
	"mustardmast/io/target"
	"mustardmast/io/tick"
	"mustardmast/node"
)

// leaveGossip is how long a node goes on after it has declared that it left, so that some peers hear of it.
const leaveGossip = 300 * time.Millisecond

// digestPeriod is how often the digest of datagrams changes, as often as a node pings.
const digestPeriod = time.Second

// Daemon is one node process.
type Daemon struct {
	settings   settings.Settings
	timers     *tick.Service
	control    *control.Control
	node       *node.Node
	quarantine *quarantine.Quarantine
	admin      http.Handler
	log        *eventlog.Log
}

// New returns a daemon that does not listen yet.
func New(s settings.Settings, t *tick.Service, c *control.Control, n *node.Node, q *quarantine.Quarantine, admin http.Handler, l *eventlog.Log) *Daemon {
	return &Daemon{settings: s, timers: t, control: c, node: n, quarantine: q, admin: admin, log: l}
}

// Run serves until ctx ends, then makes a planned stop: new work is refused as not executed, and work in flight is
// finished within the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.CallerAddress().String())
	if err != nil {
		return errors.Wrap(err, "caller address")
	}
	peers, err := net.Listen("tcp", d.settings.PeerListenAddress().String())
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	admins, err := net.Listen("tcp", d.settings.AdminAddress().String())
	if err != nil {
		return errors.Wrap(err, "admin address")
	}
	d.node.PeerMux().Handle(d.control.Handler())
	d.node.LocalTarget().Watch(d.targetChanged)
	d.node.Start(callers, peers)
	admin := &http.Server{Handler: d.admin, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = admin.Serve(admins) }()
	d.control.Start()
	d.timers.Every(digestPeriod, func(now time.Time) {
		d.control.SetDigest(control.EncodeDigest(d.quarantine.GossipUpdates(now, member.MaxDigest)))
	})
	d.log.Write(eventlog.Started, zap.Stringer("caller-address", callers.Addr()), zap.Stringer("peer-address", peers.Addr()),
		zap.Stringer("admin-address", admins.Addr()))
	<-ctx.Done()
	return d.stop(admin)
}

func (d *Daemon) stop(admin *http.Server) error {
	d.log.Write(eventlog.Stopping)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout())
	defer cancel()
	d.node.Drain()
	err := d.node.Stop(ctx)
	if err != nil {
		d.log.Write(eventlog.DrainTimedOut, zap.Error(err))
	}
	d.control.Declare(mustardmast.Left, "", 0)
	time.Sleep(leaveGossip)
	d.control.Close()
	_ = admin.Close()
	d.timers.Close()
	d.log.Write(eventlog.Stopped)
	return err
}

// targetChanged declares the target's state to the other nodes.
func (d *Daemon) targetChanged(a target.Announcement, refusal error) {
	state, event := mustardmast.Joining, eventlog.TargetNotReady
	switch fault.KindOf(refusal) {
	case fault.None:
		state, event = mustardmast.Ready, eventlog.TargetReady
	case fault.Draining:
		state, event = mustardmast.Draining, eventlog.TargetDraining
	}
	d.log.Write(event, zap.String("service", a.Service), zap.Int("slots", a.Slots), zap.NamedError("refusal", refusal))
	d.control.Declare(state, a.Service, uint32(max(a.Slots, 0)))
}

func zapTime(t time.Time, e zapcore.PrimitiveArrayEncoder) {
	e.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
}
