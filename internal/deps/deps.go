//go:build deps

// Package deps keeps the versions of libraries that are planned but not imported yet.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/wire"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/urfave/negroni/v3"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "pgregory.net/rapid"
)
