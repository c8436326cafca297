package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type storeMetadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

type storeObject struct {
	Metadata storeMetadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type storeEvent struct {
	kind     string
	revision uint64
	Object   storeObject
	Deleted  bool
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	objects  map[string]map[string]storeObject
	events   []storeEvent
}

func newStore() *store {
	s := &store{revision: 1, objects: map[string]map[string]storeObject{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// serve serves the store at an address until the process ends.
func (s *store) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go http.Serve(l, s)
	return nil
}

// put writes an object without a condition, as the operator does.
func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

func (s *store) write(kind, name string, spec json.RawMessage) storeObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !exists {
		o.Metadata = storeMetadata{Name: name, Created: s.revision, Finalizers: []string{}}
		o.Status = json.RawMessage("null")
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: o})
	s.changed.Broadcast()
	return o
}

func (s *store) remove(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: o, Deleted: true})
	s.changed.Broadcast()
	return true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("Watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in storeObject
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		reply(w, o)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, s.write(kind, name, in.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	items := []storeObject{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	reply(w, map[string]any{"items": items, "HasMore": false, "StoreRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	events := []storeEvent{}
	for {
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) {
			break
		}
		s.changed.Wait()
	}
	reply(w, map[string]any{"events": events, "StoreRevision": s.revision})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
