package member

import (
	"slices"
	"sync"

	"mustardmast"
)

const directoryShards = 64

// directory is the index that the data path reads. It is sharded by service and by node ID. The list of a service is
// copied on write, so readers hold a shard's read lock only while they look up a pointer.
type directory struct {
	services [directoryShards]serviceShard
	nodes    [directoryShards]nodeShard
}

type serviceShard struct {
	mu    sync.RWMutex
	lists map[string]*serviceList
}

// serviceList is an immutable list of the members of one service.
type serviceList struct {
	all     []*mustardmast.Member // ordered by ID
	serving []mustardmast.Member  // the result of Serving
}

type nodeShard struct {
	mu   sync.RWMutex
	byID map[mustardmast.NodeID]*mustardmast.Member
}

func newDirectory() *directory {
	d := &directory{}
	for i := range directoryShards {
		d.services[i].lists = map[string]*serviceList{}
		d.nodes[i].byID = map[mustardmast.NodeID]*mustardmast.Member{}
	}
	return d
}

// Serving returns the ready members of a service, ordered by ID. If none is ready, it returns the suspected ones,
// because a suspicion may be false and the service would otherwise have no target at all. The caller must not modify
// the slice.
func (d *directory) Serving(service string) []mustardmast.Member {
	s := &d.services[shardOf(service)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	if l, ok := s.lists[service]; ok {
		return l.serving
	}
	return nil
}

// Find returns the member with the given ID in whatever state it is. It does not find superseded incarnations.
func (d *directory) Find(id mustardmast.NodeID) (mustardmast.Member, bool) {
	s := &d.nodes[uint64(id)%directoryShards]
	s.mu.RLock()
	defer s.mu.RUnlock()
	if m, ok := s.byID[id]; ok {
		return *m, true
	}
	return mustardmast.Member{}, false
}

func shardOf(service string) uint32 {
	h := uint32(2166136261) // FNV-1a
	for i := range len(service) {
		h = (h ^ uint32(service[i])) * 16777619
	}
	return h % directoryShards
}

// put inserts or replaces a member.
func (d *directory) put(m *mustardmast.Member) {
	s := &d.nodes[uint64(m.ID)%directoryShards]
	s.mu.Lock()
	before := s.byID[m.ID]
	s.byID[m.ID] = m
	s.mu.Unlock()
	if before != nil && before.Service != m.Service {
		d.updateService(before.Service, m.ID, nil)
	}
	d.updateService(m.Service, m.ID, m)
}

func (d *directory) remove(m *mustardmast.Member) {
	s := &d.nodes[uint64(m.ID)%directoryShards]
	s.mu.Lock()
	delete(s.byID, m.ID)
	s.mu.Unlock()
	d.updateService(m.Service, m.ID, nil)
}

// updateService inserts or replaces a member in the list of a service, or removes it if m is nil.
func (d *directory) updateService(service string, id mustardmast.NodeID, m *mustardmast.Member) {
	if service == "" {
		return
	}
	s := &d.services[shardOf(service)]
	s.mu.RLock()
	old := s.lists[service]
	s.mu.RUnlock()
	next := &serviceList{}
	if old != nil {
		next.all = make([]*mustardmast.Member, 0, len(old.all)+1)
		for _, o := range old.all {
			if o.ID != id {
				next.all = append(next.all, o)
			}
		}
	}
	if m != nil {
		at, _ := slices.BinarySearchFunc(next.all, m.ID, func(o *mustardmast.Member, id mustardmast.NodeID) int {
			switch {
			case o.ID < id:
				return -1
			case o.ID > id:
				return 1
			default:
				return 0
			}
		})
		next.all = slices.Insert(next.all, at, m)
	}
	next.serving = serving(next.all)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(next.all) == 0 {
		delete(s.lists, service)
		return
	}
	s.lists[service] = next
}

func serving(all []*mustardmast.Member) []mustardmast.Member {
	out := inState(all, mustardmast.Ready)
	if len(out) == 0 {
		out = inState(all, mustardmast.Suspect)
	}
	return out
}

func inState(all []*mustardmast.Member, s mustardmast.MemberState) []mustardmast.Member {
	var out []mustardmast.Member
	for _, m := range all {
		if m.State == s {
			out = append(out, *m)
		}
	}
	return out
}
