//go:build wireinject

package sidecar

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/wire"

	"mustardmast"
	"mustardmast/core/closing"
	"mustardmast/core/pressure"
	"mustardmast/core/rejections"
	"mustardmast/io/fleet"
	"mustardmast/io/tick"
	"mustardmast/platform"
)

// build constructs a sidecar with the settings in a file.
func build(f settingsFile) (*Sidecar, error) {
	wire.Build(
		newSettings, newLiveSettings, metrics.NewSet, newSink, newLog, tick.New, newTracker, newController, newPool, newPeerClient, newRoster, newQuarantine, newStore,
		newFleet, newTargetReporter, newRecorder, newExecutor, pressure.New, newRetryBudget, rejections.New, closing.New, newPlacer, newIngress, newMemory, newInlets, newSidecar,
		wire.Bind(new(mustardmast.Timers), new(*tick.Service)), wire.Bind(new(fleet.Store), new(*platform.Store)),
	)
	return nil, nil
}
