package configtext

import (
	"bytes"
	"encoding/json"

	"mustardmast/core/config"
)

type wireConfig struct {
	Services map[string]wireService `json:"services"`
	Backers  map[string]wireBacker  `json:"backers"`
	Limits   wireLimits             `json:"limits"`
}

type wireService struct {
	DependsOn []string              `json:"depends-on"`
	Methods   map[string]wireMethod `json:"methods"`
	Slots     int                   `json:"slots"`
}

type wireMethod struct {
	Idempotent bool   `json:"idempotent"`
	Priority   string `json:"priority"`
	CostClass  string `json:"cost-class"`
	Deadline   string `json:"deadline"`
}

type wireBacker struct {
	SharePercent float64 `json:"share-percent"`
}

type wireLimits struct {
	RetryBudget  int `json:"retry-budget"`
	MaxDepth     int `json:"max-depth"`
	RetryPercent int `json:"retry-percent"`
}

// Encode returns the canonical text of c: all defaults written out, names sorted, indented by two spaces.
func Encode(c config.Config) []byte {
	w := wireConfig{Services: map[string]wireService{}, Backers: map[string]wireBacker{}}
	for _, s := range c.Services() {
		ws := wireService{DependsOn: append([]string{}, s.DependsOn...), Methods: map[string]wireMethod{}, Slots: s.Slots}
		for _, m := range s.Methods {
			ws.Methods[m.Name] = wireMethod{Idempotent: m.Idempotent, Priority: m.Priority.String(),
				CostClass: m.CostClass(), Deadline: config.FormatDuration(m.Deadline)}
		}
		w.Services[s.Name] = ws
	}
	for _, b := range c.Backers() {
		w.Backers[b.Name] = wireBacker{SharePercent: b.SharePercent}
	}
	l := c.Limits()
	w.Limits = wireLimits{RetryBudget: l.RetryBudget, MaxDepth: l.MaxDepth, RetryPercent: l.RetryPercent}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	_ = enc.Encode(w) // cannot fail: strings, booleans and finite numbers only
	return out.Bytes()
}
