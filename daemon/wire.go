//go:build wireinject

package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/wire"

	"mustardmast"
	"mustardmast/io/eventlog"
	"mustardmast/io/platform"
	"mustardmast/io/settings"
	"mustardmast/io/telemetry"
	"mustardmast/io/tick"
	"mustardmast/node"
)

// Build returns a daemon with the given settings.
func Build(s settings.Settings) (*Daemon, error) {
	wire.Build(
		newIdentity, newMember, newLogger, eventlog.New, tick.New, metrics.NewSet, newPlatform, telemetry.New,
		wire.Bind(new(mustardmast.Platform), new(*platform.Client)),
		newRegister, newQuarantine, wire.Struct(new(node.Configs)), wire.Struct(new(lastAlarm)), newControl,
		newNode, newAdminBackend, newAdmin, New,
	)
	return nil, nil
}
