// Package cli implements the commands for operators: check, diff, apply, get, history, rollback, status, drain, explain
// and quarantine.
//
// AddCommands adds them to a go-flags parser, to which the program can add other commands; Finish prints the errors
// that the parser returns and determines the exit code. Every command prints text or, with --output json, one JSON
// value on standard output, errors included.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/configtext"
	"mustardmast/io/operator"
	"mustardmast/io/store"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitInvalid  = 4
	ExitUnknown  = 5
)

// ExitCodesHelp is the help text about the exit codes.
const ExitCodesHelp = "Exit codes: 0 done, 1 error (a change was not accepted), 2 usage, 3 conflict (another change came first; " +
	"nothing was written), 4 invalid configuration (nothing was written), 5 outcome of a write unknown."

// Env is the environment in which the commands run.
type Env struct {
	Out, Err io.Writer
	In       io.Reader
	User     string // default for --who
	Clock    mustardmast.Clock
	NewID    func() string // generates change ids
	Platform func(url string) (mustardmast.Platform, error)
	Node     func(address string) (*operator.Client, error)
}

type commonOptions struct {
	Output  string        `long:"output" choice:"text" choice:"json" default:"text" description:"text for people or one JSON value for programs"`
	Timeout time.Duration `long:"timeout" default:"30s" value-name:"DURATION" description:"time limit of the whole command"`

	env Env
}

type platformOptions struct {
	Platform string `long:"platform" env:"MUSTARDMAST_PLATFORM" required:"yes" value-name:"URL" description:"address of the platform's object API, for example http://10.0.0.1:7000"`
}

type nodeOptions struct {
	Nodes []string `long:"node" env:"MUSTARDMAST_NODES" env-delim:"," value-name:"ADDRESS" description:"admin address of a node; may be repeated; take nodes of every failure domain"`
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"configuration text; - reads standard input"`
}

// AddCommands adds the commands to the parser.
func AddCommands(p *flags.Parser, e Env) error {
	o := commonOptions{env: e}
	for _, c := range []struct {
		name, short, long string
		data              flags.Commander
	}{
		{"check", "Report every fault of a configuration text",
			"Reads FILE and reports every fault with its line, column and path, what was wrong and what is allowed. Asks no other process.", &check{commonOptions: o}},
		{"diff", "Show what a text would change",
			"Compares FILE with the configuration in the platform, or with another file (--from), and shows each changed value and what it does to each backer's share.", &diff{commonOptions: o}},
		{"apply", "Put a text in force",
			"Accepts FILE as the next generation. --expect is the generation that your edit started from; if another change came first, nothing is written and the other change is shown. " +
				"Generations are numbered above those of the nodes asked (--node), so that a platform that was set back to an older state cannot make the fleet ignore the change.", &apply{commonOptions: o}},
		{"get", "Print a configuration text",
			"Prints the text in force, or that of an earlier generation, byte for byte on standard output. The generation to pass to apply --expect goes to standard error.", &get{commonOptions: o}},
		{"history", "List the changes",
			"Lists who changed the configuration, when and why, the newest change first.", &history{commonOptions: o}},
		{"rollback", "Put the text of an earlier generation in force again",
			"Accepts the text of generation --to as the next generation. The history keeps both changes.", &rollback{commonOptions: o}},
		{"status", "Show nodes and the generation in force per failure domain",
			"Asks each node given by --node. Ends with code 1 if one of them does not answer.", &status{commonOptions: o}},
		{"drain", "Drain the target of one node",
			"New calls to the target are rejected at once with the outcome not-executed; calls in flight run to completion.", &drain{commonOptions: o}},
		{"explain", "Show the events of one request",
			"Asks each node given by --node for the events of a request and prints them sorted by time. The clocks of hosts can differ.", &explain{commonOptions: o}},
		{"quarantine", "List or clear requests that crash targets",
			"Lists the fingerprints that the nodes given by --node hold. --clear removes one of them, --clear-all removes all, on each of these nodes.", &quarantine{commonOptions: o}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long+"\n\n"+ExitCodesHelp, c.data); err != nil {
			return fault.Wrap(err, fault.Internal, "command "+c.name)
		}
	}
	return nil
}

// exitError is an error that a command has already printed.
type exitError struct {
	code  int
	cause error
}

func (e *exitError) Error() string { return e.cause.Error() }
func (e *exitError) Unwrap() error { return e.cause }

// ExitCode returns the exit code for the error that the parser returned.
func ExitCode(err error) int {
	var exitErr *exitError
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &usage):
		if usage.Type == flags.ErrHelp {
			return ExitOK
		}
		return ExitUsage
	}
	switch fault.KindOf(err) {
	case fault.Conflict:
		return ExitConflict
	case fault.ConfigInvalid:
		return ExitInvalid
	case fault.WriteUnknown:
		return ExitUnknown
	case fault.BadRequest:
		return ExitUsage
	default:
		return ExitFailed
	}
}

// Finish prints the errors that no command has printed, such as usage errors, and the help, and returns the exit code.
// The parser must not have the option PrintErrors, which would print them twice.
func Finish(e Env, err error) int {
	var exitErr *exitError
	var usage *flags.Error
	switch {
	case err == nil || errors.As(err, &exitErr):
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(e.Out, usage.Message)
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(e.Err, "mustardmast: %s\nRun mustardmast --help, or mustardmast COMMAND --help.\n", usage.Message)
	default:
		_, _ = fmt.Fprintln(e.Err, "mustardmast:", err)
	}
	return ExitCode(err)
}

func (o *commonOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), o.Timeout)
}

func (o *commonOptions) json() bool { return o.Output == "json" }

func (o *commonOptions) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.env.Out, format, args...) // an error, such as a closed pipe, cannot be reported
}

func (o *commonOptions) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(o.env.Err, format, args...)
}

// fail prints an error in the selected output format and returns it as an exitError.
func (o *commonOptions) fail(err error) error {
	code := ExitCode(err)
	if o.json() {
		o.writeJSON(errorToWire(err, code))
		return &exitError{code: code, cause: err}
	}
	var conflict *store.ConflictError
	var faults configtext.Faults
	switch {
	case errors.As(err, &conflict):
		o.notef("mustardmast: %v\nNothing was written. Run mustardmast get, repeat your edit on that text, and apply it with --expect %d.\n",
			err, conflict.Current)
	case errors.As(err, &faults):
		for _, f := range faults {
			o.notef("%s\n", f)
		}
		o.notef("mustardmast: %d faults; the text is not accepted.\n", len(faults))
	case code == ExitUnknown:
		o.notef("mustardmast: %v\nBefore you retry, run mustardmast history to see whether the change was accepted.\n", err)
	default:
		o.notef("mustardmast: %v\n", err)
	}
	return &exitError{code: code, cause: err}
}

func (o *commonOptions) failUsage(format string, args ...any) error {
	return o.fail(fault.Newf(fault.BadRequest, format, args...))
}

// rejectArgs fails if there are arguments that the command does not take.
func (o *commonOptions) rejectArgs(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return o.failUsage("unknown argument %q; see --help", args[0])
}

func (o *commonOptions) store(p platformOptions) (*store.Store, error) {
	platform, err := o.env.Platform(p.Platform)
	if err != nil {
		return nil, err
	}
	return store.New(store.Settings{Platform: platform, Clock: o.env.Clock, NewID: o.env.NewID}), nil
}
