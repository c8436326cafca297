// Package daemon runs a node as a process: the data path, the control service, the admin server and the planned stop.
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

// leaveGossipTime is how long a node keeps gossiping after it has declared itself Left, so that some peers receive the
// update.
const leaveGossipTime = 300 * time.Millisecond

// digestPeriod is how often the digest that datagrams carry is updated. It equals the ping period of a node.
const digestPeriod = time.Second

// Daemon is a node process.
type Daemon struct {
	settings   settings.Settings
	timers     *tick.Service
	control    *control.Control
	node       *node.Node
	quarantine *quarantine.Quarantine
	admin      http.Handler
	log        *eventlog.Log
}

// New returns a daemon that does not listen until Run is called.
func New(s settings.Settings, t *tick.Service, c *control.Control, n *node.Node, q *quarantine.Quarantine, admin http.Handler, l *eventlog.Log) *Daemon {
	return &Daemon{settings: s, timers: t, control: c, node: n, quarantine: q, admin: admin, log: l}
}

// Run serves until ctx ends. It then makes a planned stop: new calls are rejected as not executed, and calls in flight
// may finish within the drain timeout. It returns an error if some did not.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.CallerAddress().String())
	if err != nil {
		return errors.Wrap(err, "listen on the caller address")
	}
	peers, err := net.Listen("tcp", d.settings.PeerListenAddress().String())
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	admins, err := net.Listen("tcp", d.settings.AdminAddress().String())
	if err != nil {
		return errors.Wrap(err, "listen on the admin address")
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
	time.Sleep(leaveGossipTime)
	d.control.Close()
	_ = admin.Close()
	d.timers.Close()
	d.log.Write(eventlog.Stopped)
	return err
}

// targetChanged logs the new state of the target and declares it to the other nodes.
func (d *Daemon) targetChanged(a target.Announcement, rejection error) {
	state, event := mustardmast.Joining, eventlog.TargetNotReady
	switch fault.KindOf(rejection) {
	case fault.None:
		state, event = mustardmast.Ready, eventlog.TargetReady
	case fault.Draining:
		state, event = mustardmast.Draining, eventlog.TargetDraining
	}
	d.log.Write(event, zap.String("service", a.Service), zap.Int("slots", a.Slots), zap.NamedError("refusal", rejection))
	d.control.Declare(state, a.Service, uint32(max(a.Slots, 0)))
}

func encodeTime(t time.Time, e zapcore.PrimitiveArrayEncoder) {
	e.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
}
