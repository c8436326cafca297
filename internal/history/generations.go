package history

import (
	"fmt"
	"sort"

	"github.com/anishathalye/porcupine"
)

// Generations records writes of the configuration and what nodes had in force.
//
// The model: each write that is accepted has a higher generation than all before it. A node has only accepted
// configurations in force, and never moves to a lower generation. It may lag behind; how long is not part of the
// model.
type Generations struct {
	r recorder
}

// Write is one write of the configuration by an operator.
type Write struct {
	g     *Generations
	index int
	op    write
}

// Read is one look at the configuration that a node has in force.
type Read struct {
	g     *Generations
	index int
}

type (
	write struct {
		generation uint64
		change     string
	}
	read    struct{ node string }
	verdict bool
)

// Write records that an operator writes a change with this generation.
func (g *Generations) Write(generation uint64, change string) Write {
	w := write{generation: generation, change: change}
	return Write{g: g, index: g.r.invoke(0, w), op: w}
}

// Accepted records that the write is done; Rejected that it has no effect. A write with neither may take effect.
func (w Write) Accepted() { w.g.r.returned(w.index, verdict(true)) }

// Rejected records that the write has no effect.
func (w Write) Rejected() { w.g.r.returned(w.index, verdict(false)) }

// Read records that a node is asked for what it has in force. A node is one process lifetime.
func (g *Generations) Read(node string) Read {
	return Read{g: g, index: g.r.invoke(0, read{node})}
}

// Returned records the answer of the node. A read that is never answered says nothing.
func (r Read) Returned(generation uint64, change string) {
	r.g.r.returned(r.index, write{generation, change})
}

// Check returns an error for the first node, by name, whose history the model does not allow.
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

// generations is the state for one node. The log of accepted writes is a linked list, so that states share it.
type generations struct {
	log     *accepted
	inForce uint64
}

type accepted struct {
	write
	before *accepted
}

func (g generations) top() uint64 {
	if g.log == nil {
		return 0
	}
	return g.log.generation
}

func (g generations) holds(w write) bool {
	for a := g.log; a != nil; a = a.before {
		if a.write == w {
			return true
		}
	}
	return false
}

var generationModel = porcupine.Model{
	Init: func() any { return generations{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(generations)
		switch in := input.(type) {
		case write:
			return s.write(in, output)
		case read:
			saw, _ := output.(write)
			if saw.generation < s.inForce || !s.holds(saw) {
				return false, s
			}
			s.inForce = saw.generation
		}
		return true, s
	},
	Equal: func(a, b any) bool {
		x, y := a.(generations), b.(generations)
		if x.inForce != y.inForce {
			return false
		}
		p, q := x.log, y.log
		for p != nil && q != nil && p != q && p.write == q.write {
			p, q = p.before, q.before
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

func (g generations) write(in write, output any) (bool, any) {
	v, known := output.(verdict)
	higher := in.generation > g.top()
	switch {
	case known && !bool(v), !known && !higher:
		return true, g // a write of unknown outcome that cannot take effect any more has none
	case !higher:
		return false, g
	}
	g.log = &accepted{write: in, before: g.log}
	return true, g
}
