package daemon

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"mustardmast"
	"mustardmast/io/target"
	"mustardmast/io/tick"
	"mustardmast/node"
)

func newAdmin(n *node.Node, t *tick.Service) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/targets", func(w http.ResponseWriter, q *http.Request) {
		var f struct {
			Address, Service, State string
			Slots                   int
		}
		if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a, err := netip.ParseAddrPort(f.Address)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n.Local().Announce(t.Now(), target.Announcement{Address: a, Service: f.Service, Slots: f.Slots, Draining: f.State == "draining"})
	})
	return m
}

var _ mustardmast.Timers = (*tick.Service)(nil)
