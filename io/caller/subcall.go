package caller

import (
	"slices"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/core/requestid"
	"mustardmast/core/retry"
	"mustardmast/io/execute"
)

// nest completes a sub-call, one that the target on this host makes while it runs another call.
func (s *Server) nest(c config.Config, spec *call.Spec) (*nested, error) {
	spec.Depth = len(spec.Path) + 1
	if slices.Contains(spec.Path, spec.Service) {
		return nil, fault.Newf(fault.LoopDetected, "path %v to %q", spec.Path, spec.Service)
	}
	if spec.Depth > c.Limits().MaxDepth {
		return nil, fault.Newf(fault.DepthExceeded, "hop %d of at most %d", spec.Depth, c.Limits().MaxDepth)
	}
	parent, running := s.p.RunningCalls.Find(spec.ID)
	spec.Retries = 0 // a sub-call without a running parent has no budget to draw on
	if running {
		inherit(spec, parent.Call())
	}
	if err := s.nestID(spec, parent); err != nil {
		return nil, err
	}
	if !running {
		return nil, nil
	}
	g := parent.Grant()
	spec.Retries = g.Units()
	return &nested{parent: parent, grant: g}, nil
}

// nested ties a sub-call to the call that the target runs. Nil is a call without a running parent.
type nested struct {
	parent *execute.Execution
	grant  *retry.Grant
}

func (n *nested) started(now time.Time) {
	if n != nil {
		n.parent.SubCallStarted(now)
	}
}

func (n *nested) ended(now time.Time, a execute.Reply) {
	if n == nil {
		return
	}
	n.parent.SubCallEnded(now)
	n.grant.Return(a.Retries)
}

// inherit bounds a sub-call by its parent. Priority and backer are the parent's, so that every hop judges a request
// alike.
func inherit(spec *call.Spec, parent call.Call) {
	if d := parent.Deadline(); !d.IsZero() && d.Before(spec.Deadline) {
		spec.Deadline = d
	}
	spec.Priority, spec.Backer = parent.Priority(), parent.Backer()
}

// nestID gives a sub-call its id: the parent's with the call key, so that the owner of the root owns it too.
func (s *Server) nestID(spec *call.Spec, parent *execute.Execution) error {
	if spec.Key != "" {
		id, err := requestid.SubCallID(spec.ID, spec.Key)
		if err != nil {
			return err
		}
		spec.ID = id
		if !spec.Idempotent && !s.p.IDIssuer.IsIssued(call.New(*spec).Root()) {
			return fault.Newf(fault.RequestIDNotIssued, "the root of request id %q was not issued", spec.ID)
		}
		return nil
	}
	if spec.Idempotent {
		spec.ID += "/-" // an idempotent sub-call needs no key of its own
		return nil
	}
	if parent == nil || parent.Call().Idempotent() {
		return fault.Newf(fault.CallKeyMissing, "call of %s/%s below an idempotent call", spec.Service, spec.Method)
	}
	spec.ID = s.p.IDIssuer.Issue(1)[0]
	return nil
}
