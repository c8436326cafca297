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

// prepareSubCall completes the spec of a sub-call, which the target on this host makes while it runs another call. It
// returns nil if that parent call is not running.
func (s *Server) prepareSubCall(c config.Config, spec *call.Spec) (*subCall, error) {
	spec.Depth = len(spec.Path) + 1
	if slices.Contains(spec.Path, spec.Service) {
		return nil, fault.Newf(fault.LoopDetected, "path %v to %q", spec.Path, spec.Service)
	}
	if spec.Depth > c.Limits().MaxDepth {
		return nil, fault.Newf(fault.DepthExceeded, "hop %d of at most %d", spec.Depth, c.Limits().MaxDepth)
	}
	parent, running := s.options.RunningCalls.Find(spec.ID)
	spec.Retries = 0 // a sub-call without a running parent has no retry budget
	if running {
		inheritLimits(spec, parent.Call())
	}
	if err := s.setSubCallID(spec, parent); err != nil {
		return nil, err
	}
	if !running {
		return nil, nil
	}
	g := parent.Grant()
	spec.Retries = g.Units()
	return &subCall{parent: parent, grant: g}, nil
}

// subCall links a sub-call to its parent, which the target is running. It is nil for a call without a running parent.
type subCall struct {
	parent *execute.Execution
	grant  *retry.Grant
}

func (s *subCall) started(now time.Time) {
	if s != nil {
		s.parent.SubCallStarted(now)
	}
}

func (s *subCall) ended(now time.Time, reply execute.Reply) {
	if s == nil {
		return
	}
	s.parent.SubCallEnded(now)
	s.grant.Return(reply.Retries)
}

// inheritLimits limits a sub-call's deadline to its parent's. Priority and backer are those of the parent, so that
// every hop makes the same admission decision for a request.
func inheritLimits(spec *call.Spec, parent call.Call) {
	if d := parent.Deadline(); !d.IsZero() && d.Before(spec.Deadline) {
		spec.Deadline = d
	}
	spec.Priority, spec.Backer = parent.Priority(), parent.Backer()
}

// setSubCallID sets the id of a sub-call: the parent's id with the call key appended, so that the owner of the root
// request also owns the sub-call.
func (s *Server) setSubCallID(spec *call.Spec, parent *execute.Execution) error {
	if spec.Key != "" {
		id, err := requestid.SubCallID(spec.ID, spec.Key)
		if err != nil {
			return err
		}
		spec.ID = id
		if !spec.Idempotent && !s.options.IDIssuer.IsIssued(call.New(*spec).Root()) {
			return fault.Newf(fault.RequestIDNotIssued, "the root of request id %q was not issued", spec.ID)
		}
		return nil
	}
	if spec.Idempotent {
		spec.ID += "/-" // an idempotent sub-call needs no key of its own
		return nil
	}
	if parent == nil || parent.Call().Idempotent() {
		return fault.Newf(fault.CallKeyMissing, "sub-call %s/%s is not idempotent and needs a call key", spec.Service, spec.Method)
	}
	spec.ID = s.options.IDIssuer.Issue(1)[0]
	return nil
}
