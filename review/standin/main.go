// Command standin plays one case of the review: it starts the sidecars of a small deployment, with stand-ins for the
// platform, the upstreams and the clients, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// scenario runs a case. Trouble is whether the disruption happens.
type scenario func(r *recorder, trouble bool) (code int, err error)

var scenarios = map[string]scenario{
	"crashing-request":   crashingRequest,
	"left-after-restart": leftAfterRestart,
	"early-answer":       earlyAnswerCase,
	"retried-upload":     retriedUpload,
	"truncated-answer":   truncatedAnswer,
	"settings-change":    settingsChange,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(cannotRun)
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("%s begins, trouble %v, %s", os.Args[1], trouble, time.Now().UTC().Format(time.RFC3339))
	code, err := scenarios[os.Args[1]](r, trouble)
	if err != nil {
		r.sayf("the case could not run: %v", err)
		code = cannotRun
	}
	r.sayf("exit %d", code)
	os.Exit(code)
}
