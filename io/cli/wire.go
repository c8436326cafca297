package cli

import (
	"encoding/json"
	"errors"
	"time"

	"mustardmast/core/audit"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/io/configtext"
	"mustardmast/io/store"
)

func (o *commonOptions) writeJSON(v any) {
	enc := json.NewEncoder(o.env.Out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // an error, such as a closed pipe, cannot be reported
}

type wireError struct {
	Error    string      `json:"error"`
	Detail   string      `json:"detail"`
	ExitCode int         `json:"exit-code"`
	Winner   *wireEntry  `json:"winner,omitempty"`
	Faults   []wireFault `json:"faults,omitempty"`
}

type wireFault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

type wireEntry struct {
	ID   string    `json:"change-id"`
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	From uint64    `json:"from-generation"`
	To   uint64    `json:"to-generation"`
	Why  string    `json:"why"`
}

type wireCheck struct {
	Valid    bool `json:"valid"`
	Services int  `json:"services"`
	Backers  int  `json:"backers"`
	Bytes    int  `json:"bytes"`
}

type wireDelta struct {
	From    string       `json:"from"`
	Changes []wireChange `json:"changes"`
	Shares  []wireShare  `json:"shares"`
}

type wireChange struct {
	Path  string `json:"path"`
	From  string `json:"from"`
	To    string `json:"to"`
	Words string `json:"words"`
}

type wireShare struct {
	Backer         string  `json:"backer"`
	GuaranteedFrom float64 `json:"guaranteed-from-percent"`
	GuaranteedTo   float64 `json:"guaranteed-to-percent"`
	ContendedFrom  float64 `json:"contended-from-percent"`
	ContendedTo    float64 `json:"contended-to-percent"`
}

type wireApplied struct {
	Change   wireEntry `json:"change"`
	Restored bool      `json:"platform-was-restored"`
	Delta    wireDelta `json:"diff"`
}

type wireText struct {
	Generation uint64 `json:"generation"`
	Text       string `json:"text"`
}

func entryToWire(e audit.Entry) wireEntry {
	return wireEntry{ID: e.ID, Who: e.Who, When: e.When.UTC(), From: e.From, To: e.To, Why: e.Why}
}

func deltaToWire(from string, d config.Delta) wireDelta {
	w := wireDelta{From: from, Changes: []wireChange{}, Shares: []wireShare{}}
	for _, c := range d.Changes {
		w.Changes = append(w.Changes, wireChange{Path: c.Path, From: c.From, To: c.To, Words: c.Summary})
	}
	for _, s := range d.Shares {
		w.Shares = append(w.Shares, wireShare{Backer: s.Backer, GuaranteedFrom: s.GuaranteedFrom, GuaranteedTo: s.GuaranteedTo,
			ContendedFrom: s.ContendedFrom, ContendedTo: s.ContendedTo})
	}
	return w
}

func errorToWire(err error, code int) wireError {
	e := fault.From(err)
	w := wireError{Error: e.Kind().String(), Detail: e.Error(), ExitCode: code}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && conflict.Winner.To > 0 {
		winner := entryToWire(conflict.Winner)
		w.Winner = &winner
	}
	var faults configtext.Faults
	if errors.As(err, &faults) {
		w.Detail = e.Detail()
		for _, f := range faults {
			w.Faults = append(w.Faults, wireFault{Line: f.Line, Column: f.Column, Path: f.Path, Problem: f.Problem, Allowed: f.Allowed})
		}
	}
	return w
}
