// Package settings reads the settings of a node process: its addresses, its failure domain, the URL of the platform and
// the addresses of some peers (seeds). Everything that concerns services is in the operators' configuration instead.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Defaults and limits.
const (
	DefaultDrainTimeout = 30 * time.Second
	maxNameLength       = 64
)

// Settings are the settings of a node process.
type Settings struct {
	name          string
	failureDomain string
	region        string
	caller        netip.AddrPort
	peer          netip.AddrPort
	peerListen    netip.AddrPort
	admin         netip.AddrPort
	platform      string
	seeds         []netip.AddrPort
	drainTimeout  time.Duration
	logLevel      string
}

// Name returns the name of the host in logs and status.
func (s Settings) Name() string { return s.name }

// FailureDomain returns the failure domain of the host.
func (s Settings) FailureDomain() string { return s.failureDomain }

// Region returns the region of the host.
func (s Settings) Region() string { return s.region }

// CallerAddress returns the address on which the node serves callers and the target on its host.
func (s Settings) CallerAddress() netip.AddrPort { return s.caller }

// PeerAddress returns the TCP and UDP address that other nodes use.
func (s Settings) PeerAddress() netip.AddrPort { return s.peer }

// PeerListenAddress returns the address on which the node listens for other nodes. It is PeerAddress unless set
// separately.
func (s Settings) PeerListenAddress() netip.AddrPort {
	if s.peerListen.IsValid() {
		return s.peerListen
	}
	return s.peer
}

// LocalIP returns the local address of connections to other nodes, or nil for any.
func (s Settings) LocalIP() net.IP {
	if a := s.PeerListenAddress().Addr(); !a.IsUnspecified() {
		return a.AsSlice()
	}
	return nil
}

// AdminAddress returns the address for operators and for announcements of the target on this host.
func (s Settings) AdminAddress() netip.AddrPort { return s.admin }

// Platform returns the base URL of the platform's object API.
func (s Settings) Platform() string { return s.platform }

// Seeds returns the addresses of the peers that the node contacts first.
func (s Settings) Seeds() []netip.AddrPort { return s.seeds }

// DrainTimeout returns the maximum time that a planned stop waits for calls in flight.
func (s Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// LogLevel returns the minimum level of log entries that are written.
func (s Settings) LogLevel() string { return s.logLevel }

// file is the JSON form of the settings.
type file struct {
	Name          string   `json:"name"`
	FailureDomain string   `json:"failure-domain"`
	Region        string   `json:"region"`
	CallerAddress string   `json:"caller-address"`
	PeerAddress   string   `json:"peer-address"`
	PeerListen    string   `json:"peer-listen-address"`
	AdminAddress  string   `json:"admin-address"`
	PlatformURL   string   `json:"platform-url"`
	Seeds         []string `json:"seeds"`
	DrainTimeout  string   `json:"drain-timeout"`
	LogLevel      string   `json:"log-level"`
}

// Load reads the settings file at path. The error lists all faults of the file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := Parse(b)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse decodes settings. The error lists all faults.
func Parse(b []byte) (Settings, error) {
	var f file
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Settings{}, errors.Wrap(err, "not a JSON object of known keys")
	}
	if _, err := d.Token(); err != io.EOF {
		return Settings{}, errors.New("unexpected text after the JSON object")
	}
	c := checker{}
	s := Settings{
		name:          c.name("name", f.Name, true),
		failureDomain: c.name("failure-domain", f.FailureDomain, true),
		region:        c.name("region", f.Region, false),
		caller:        c.address("caller-address", f.CallerAddress),
		peer:          c.address("peer-address", f.PeerAddress),
		admin:         c.address("admin-address", f.AdminAddress),
		platform:      c.url("platform-url", f.PlatformURL),
		drainTimeout:  c.duration("drain-timeout", f.DrainTimeout, DefaultDrainTimeout, time.Second, 10*time.Minute),
		logLevel:      c.level("log-level", f.LogLevel),
	}
	if f.PeerListen != "" {
		s.peerListen = c.address("peer-listen-address", f.PeerListen)
	}
	for i, a := range f.Seeds {
		s.seeds = append(s.seeds, c.address(fmt.Sprintf("seeds[%d]", i), a))
	}
	return s, c.err()
}

// checker validates values and collects the faults.
type checker struct{ faults []string }

func (c *checker) addFault(key, value, allowed string) {
	c.faults = append(c.faults, fmt.Sprintf("%s is %q; allowed: %s", key, value, allowed))
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.Strings(c.faults)
	return errors.Errorf("%d faults:\n  %s", len(c.faults), strings.Join(c.faults, "\n  "))
}

func (c *checker) name(key, v string, required bool) string {
	allowed := func(r rune) bool {
		return r == '-' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z'
	}
	invalid := strings.ContainsFunc(v, func(r rune) bool { return !allowed(r) })
	if invalid || len(v) > maxNameLength || required && v == "" {
		c.addFault(key, v, fmt.Sprintf("1 to %d of a-z, 0-9, - and .", maxNameLength))
	}
	return v
}

func (c *checker) address(key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.addFault(key, v, "IP address and port, such as 10.0.0.7:7100")
	}
	return a
}

func (c *checker) url(key, v string) string {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.addFault(key, v, "an http or https URL")
	}
	return strings.TrimSuffix(v, "/")
}

func (c *checker) duration(key, v string, defaultValue, minimum, maximum time.Duration) time.Duration {
	if v == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minimum || d > maximum {
		c.addFault(key, v, fmt.Sprintf("a duration with a unit, %s to %s", minimum, maximum))
	}
	return d
}

func (c *checker) level(key, v string) string {
	switch v {
	case "":
		return "info"
	case "debug", "info", "warn", "error":
		return v
	}
	c.addFault(key, v, "debug, info, warn or error")
	return v
}
