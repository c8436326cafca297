package cli

import (
	"io"
	"os"

	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/io/configtext"
)

// readText returns the content of a file, or of standard input if the name is "-".
func (o *commonOptions) readText(name string) ([]byte, error) {
	in := o.env.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "configuration text")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, configtext.MaxBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "configuration text "+name)
	}
	return b, nil
}

func (o *commonOptions) loadConfig(name string) ([]byte, config.Config, error) {
	src, err := o.readText(name)
	if err != nil {
		return nil, config.Config{}, err
	}
	c, faults := configtext.Decode(src)
	return src, c, faults.Err()
}

type check struct {
	commonOptions
	Canonical bool         `long:"canonical" description:"print the text with defaults written out and names sorted"`
	Args      fileArgument `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *check) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	src, parsed, err := c.loadConfig(c.Args.File)
	switch {
	case err != nil:
		return c.fail(err)
	case c.Canonical:
		c.printf("%s", configtext.Encode(parsed))
	case c.json():
		c.writeJSON(wireCheck{Valid: true, Services: len(parsed.Services()), Backers: len(parsed.Backers()), Bytes: len(src)})
	default:
		c.printf("valid: %d services, %d backers, %d bytes\n", len(parsed.Services()), len(parsed.Backers()), len(src))
	}
	return nil
}

type diff struct {
	commonOptions
	From     string       `long:"from" value-name:"FILE" description:"compare with this text instead of the platform's"`
	Platform string       `long:"platform" env:"MUSTARDMAST_PLATFORM" value-name:"URL" description:"address of the platform's object API"`
	Args     fileArgument `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *diff) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	_, to, err := c.loadConfig(c.Args.File)
	if err != nil {
		return c.fail(err)
	}
	from, name, err := c.baseConfig()
	if err != nil {
		return c.fail(err)
	}
	delta := config.Diff(from, to)
	if c.json() {
		c.writeJSON(deltaToWire(name, delta))
		return nil
	}
	c.printf("from %s\n", name)
	c.delta(delta)
	return nil
}

// baseConfig returns the configuration to compare with, and its name.
func (c *diff) baseConfig() (config.Config, string, error) {
	if c.From != "" {
		_, from, err := c.loadConfig(c.From)
		return from, c.From, err
	}
	if c.Platform == "" {
		return config.Config{}, "", fault.New(fault.BadRequest, "nothing to compare with; give --platform or --from")
	}
	s, err := c.store(platformOptions{Platform: c.Platform})
	if err != nil {
		return config.Config{}, "", err
	}
	ctx, cancel := c.context()
	defer cancel()
	st, err := s.Read(ctx)
	if err != nil {
		return config.Config{}, "", err
	}
	return decodeStored(st.Text), generationText(st.Generation), nil
}

// decodeStored decodes a text that was accepted before. An empty or invalid text gives an empty configuration, so that
// a diff against it shows every value as new.
func decodeStored(stored string) config.Config {
	c, faults := configtext.Decode([]byte(stored))
	if len(faults) > 0 {
		c, _ = configtext.Decode([]byte("{}"))
	}
	return c
}

// delta prints a difference as text.
func (o *commonOptions) delta(d config.Delta) {
	if d.Empty() {
		o.printf("  no value changes\n")
		return
	}
	for _, c := range d.Changes {
		o.printf("  %s\n", c.Summary)
	}
	heading := false
	for _, s := range d.Shares {
		if !s.Differs() {
			continue
		}
		if !heading {
			o.printf("shares (guaranteed; while every backer has more demand than its share)\n")
			heading = true
		}
		o.printf("  %s: %s%% -> %s%%; %s%% -> %s%%\n", s.Backer, config.FormatPercent(s.GuaranteedFrom), config.FormatPercent(s.GuaranteedTo),
			config.FormatPercent(s.ContendedFrom), config.FormatPercent(s.ContendedTo))
	}
}
