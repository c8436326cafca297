package history

import (
	"fmt"
	"sort"

	"github.com/anishathalye/porcupine"
)

// Generations records writes of the configuration and the generations that nodes had in force.
//
// The model: each accepted write has a higher generation than all before it. A node has only accepted configurations in
// force, and never changes to a lower generation. It may lag behind; the model does not limit for how long.
type Generations struct {
	r recorder
}

// Write is a write of the configuration by an operator.
type Write struct {
	g     *Generations
	index int
	op    write
}

// Read is a query for the configuration that a node has in force.
type Read struct {
	g     *Generations
	index int
}

type (
	write struct {
		generation uint64
		change     string
	}
	read          struct{ node string }
	writeAccepted bool
)

// Write records that an operator starts to write a change with the given generation.
func (g *Generations) Write(generation uint64, change string) Write {
	w := write{generation: generation, change: change}
	return Write{g: g, index: g.r.invoke(0, w), op: w}
}

// Accepted records that the write succeeded. A write for which neither Accepted nor Rejected is called may take effect
// at any time.
func (w Write) Accepted() { w.g.r.returned(w.index, writeAccepted(true)) }

// Rejected records that the write failed and never takes effect.
func (w Write) Rejected() { w.g.r.returned(w.index, writeAccepted(false)) }

// Read records a query to a node for the configuration that it has in force. Each process lifetime needs a node name of
// its own.
func (g *Generations) Read(node string) Read {
	return Read{g: g, index: g.r.invoke(0, read{node})}
}

// Returned records the node's response. A read without a response does not restrict the history.
func (r Read) Returned(generation uint64, change string) {
	r.g.r.returned(r.index, write{generation, change})
}

// Check returns an error for the first node, in the order of names, whose history the model does not allow.
func (g *Generations) Check() error {
	var writes []porcupine.Operation
	byNode := map[string][]porcupine.Operation{}
	for _, o := range g.r.history() {
		if in, ok := o.Input.(read); !ok {
			writes = append(writes, o)
		} else if o.Output != nil {
			byNode[in.node] = append(byNode[in.node], o)
		}
	}
	nodes := make([]string, 0, len(byNode))
	for n := range byNode {
		nodes = append(nodes, n)
	}
	sort.Strings(nodes)
	if err := check(generationModel, "writes", writes); err != nil {
		return err
	}
	for _, n := range nodes {
		ops := append(append([]porcupine.Operation(nil), writes...), byNode[n]...)
		if err := check(generationModel, "node "+n, ops); err != nil {
			return err
		}
	}
	return nil
}

// nodeState is the model's state for one node. The log of accepted writes is a linked list, so that states can share
// it.
type nodeState struct {
	log     *logEntry
	inForce uint64
}

type logEntry struct {
	write
	previous *logEntry
}

func (g nodeState) lastGeneration() uint64 {
	if g.log == nil {
		return 0
	}
	return g.log.generation
}

func (g nodeState) contains(w write) bool {
	for a := g.log; a != nil; a = a.previous {
		if a.write == w {
			return true
		}
	}
	return false
}

var generationModel = porcupine.Model{
	Init: func() any { return nodeState{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(nodeState)
		switch in := input.(type) {
		case write:
			return s.write(in, output)
		case read:
			got, _ := output.(write)
			if got.generation < s.inForce || !s.contains(got) {
				return false, s
			}
			s.inForce = got.generation
		}
		return true, s
	},
	Equal: func(a, b any) bool {
		x, y := a.(nodeState), b.(nodeState)
		if x.inForce != y.inForce {
			return false
		}
		p, q := x.log, y.log
		for p != nil && q != nil && p != q && p.write == q.write {
			p, q = p.previous, q.previous
		}
		return p == q
	},
	DescribeOperation: func(input, output any) string {
		switch in := input.(type) {
		case write:
			return fmt.Sprintf("write %d %q: accepted %v", in.generation, in.change, output)
		case read:
			return fmt.Sprintf("in force at %s: %v", in.node, output)
		}
		return ""
	},
}

func (g nodeState) write(in write, output any) (bool, any) {
	v, known := output.(writeAccepted)
	higher := in.generation > g.lastGeneration()
	switch {
	case known && !bool(v), !known && !higher:
		return true, g // a write of unknown outcome whose generation is too low has not taken effect
	case !higher:
		return false, g
	}
	g.log = &logEntry{write: in, previous: g.log}
	return true, g
}
