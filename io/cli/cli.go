// Package cli has the operators' commands: check, diff, apply, get, history, rollback, status, drain, explain and
// quarantine.
//
// AddCommands puts them on a go-flags parser, so that the program can have other commands beside them; Finish turns what the
// parser returns into messages and an exit code. Every command prints text for people or, with --output json, one JSON
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

// ExitCodesHelp is the part of the help that explains the exit codes.
const ExitCodesHelp = "Exit codes: 0 done, 1 error (a change was not accepted), 2 usage, 3 conflict (another change came first; " +
	"nothing was written), 4 invalid configuration (nothing was written), 5 outcome of a write unknown."

// Env is what the commands use of the process.
type Env struct {
	Out, Err io.Writer
	In       io.Reader
	User     string // default for --who
	Clock    mustardmast.Clock
	NewID    func() string // change ids
	Platform func(url string) (mustardmast.Platform, error)
	Node     func(address string) (*operator.Client, error)
}

type output struct {
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

// AddCommands adds the commands to a parser.
func AddCommands(p *flags.Parser, e Env) error {
	o := output{env: e}
	for _, c := range []struct {
		name, short, long string
		data              flags.Commander
	}{
		{"check", "Report every fault of a configuration text",
			"Reads FILE and reports every fault with its line, column and path, what was wrong and what is allowed. Asks no other process.", &check{output: o}},
		{"diff", "Show what a text would change",
			"Compares FILE with the configuration in the platform, or with another file (--from), and shows each changed value and what it does to each backer's share.", &diff{output: o}},
		{"apply", "Put a text in force",
			"Accepts FILE as the next generation. --expect is the generation that your edit started from; if another change came first, nothing is written and the other change is shown. " +
				"Generations are numbered above those of the nodes asked (--node), so that a platform that was set back to an older state cannot make the fleet ignore the change.", &apply{output: o}},
		{"get", "Print a configuration text",
			"Prints the text in force, or that of an earlier generation, byte for byte on standard output. The generation to pass to apply --expect goes to standard error.", &get{output: o}},
		{"history", "List the changes",
			"Lists who changed the configuration, when and why, the newest change first.", &history{output: o}},
		{"rollback", "Put the text of an earlier generation in force again",
			"Accepts the text of generation --to as the next generation. The history keeps both changes.", &rollback{output: o}},
		{"status", "Show nodes and the generation in force per failure domain",
			"Asks each node given by --node. Ends with code 1 if one of them does not answer.", &status{output: o}},
		{"drain", "Make the target of one node leave",
			"New calls to the target are refused at once with the outcome not-executed; calls in flight go on to their end.", &drain{output: o}},
		{"explain", "Show what nodes know of one request",
			"Asks each node given by --node for the steps of a request and prints them in the order of time. Clocks of hosts can differ.", &explain{output: o}},
		{"quarantine", "List or clear requests that crash targets",
			"Lists the fingerprints that the nodes given by --node hold. --clear removes one of them, --clear-all removes all, on each of these nodes.", &quarantine{output: o}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long+"\n\n"+ExitCodesHelp, c.data); err != nil {
			return fault.Wrap(err, fault.Internal, "command "+c.name)
		}
	}
	return nil
}

// exit is a failure that a command has reported.
type exit struct {
	code  int
	cause error
}

func (e *exit) Error() string { return e.cause.Error() }
func (e *exit) Unwrap() error { return e.cause }

// ExitCode returns the exit code for what a parser or command returned.
func ExitCode(err error) int {
	var done *exit
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &done):
		return done.code
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

// Finish reports what no command has reported, such as help and usage errors, and returns the exit code. The parser
// must not have the option PrintErrors.
func Finish(e Env, err error) int {
	var done *exit
	var usage *flags.Error
	switch {
	case err == nil || errors.As(err, &done):
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(e.Out, usage.Message)
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(e.Err, "mustardmast: %s\nRun mustardmast --help, or mustardmast COMMAND --help.\n", usage.Message)
	default:
		_, _ = fmt.Fprintln(e.Err, "mustardmast:", err)
	}
	return ExitCode(err)
}

func (o *output) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), o.Timeout)
}

func (o *output) json() bool { return o.Output == "json" }

func (o *output) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.env.Out, format, args...) // a closed pipe cannot be reported
}

func (o *output) notef(format string, args ...any) { _, _ = fmt.Fprintf(o.env.Err, format, args...) }

// fail reports an error in the form that was asked for.
func (o *output) fail(err error) error {
	code := ExitCode(err)
	if o.json() {
		o.write(errorToWire(err, code))
		return &exit{code: code, cause: err}
	}
	var lost *store.ConflictError
	var faults configtext.Faults
	switch {
	case errors.As(err, &lost):
		o.notef("mustardmast: %v\nNothing was written. Run mustardmast get, repeat your edit on that text, and apply it with --expect %d.\n",
			err, lost.Current)
	case errors.As(err, &faults):
		for _, f := range faults {
			o.notef("%s\n", f)
		}
		o.notef("mustardmast: %d faults; the text is not accepted.\n", len(faults))
	case code == ExitUnknown:
		o.notef("mustardmast: %v\nDo not apply again before you have looked: mustardmast history\n", err)
	default:
		o.notef("mustardmast: %v\n", err)
	}
	return &exit{code: code, cause: err}
}

func (o *output) usage(format string, args ...any) error {
	return o.fail(fault.Newf(fault.BadRequest, format, args...))
}

// noMore refuses arguments that a command does not take.
func (o *output) noMore(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return o.usage("argument %q is not known; see --help", args[0])
}

func (o *output) store(p platformOptions) (*store.Store, error) {
	platform, err := o.env.Platform(p.Platform)
	if err != nil {
		return nil, err
	}
	return store.New(store.Settings{Platform: platform, Clock: o.env.Clock, NewID: o.env.NewID}), nil
}
