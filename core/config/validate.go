package config

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"mustardmast/core/call"
)

// Bounds of the values in a configuration. They keep the text below the platform's limit for one object and the
// tables that nodes build from it below the control budget.
const (
	MaxServices     = 2000
	MaxMethods      = 64 // of one service
	MaxDependencies = 32 // of one service
	MaxBackers      = 256
	MaxNameLength   = call.MaxNameLength
	MinDeadline     = time.Millisecond
	MaxDeadline     = 24 * time.Hour // the largest value that the deadline header carries
	MaxSlots        = 100_000
	MaxRetryBudget  = call.MaxRetries
	MaxMaxDepth     = 32
	MaxRetryPercent = 100
	MaxSharePercent = 100
)

// ShareStep is the smallest difference between two shares, in percent. Sums are taken in whole steps, so that ten
// shares of 10% are exactly 100%.
const ShareStep = 0.01

// ReservedService cannot be used as a service name, because nodes serve their own paths below it.
const ReservedService = "mustardmast"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// NameRule says which names are allowed.
var NameRule = fmt.Sprintf("lower-case letters, digits and inner hyphens, at most %d characters", MaxNameLength)

// Fault is one thing wrong with a configuration.
type Fault struct {
	Path    string // for example services.socket-board.methods.assign.deadline
	Problem string
	Allowed string
}

// String returns the fault in one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem + "; allowed: " + f.Allowed }

// ValidName reports whether a service, method or backer may have this name.
func ValidName(name string) bool {
	return len(name) <= MaxNameLength && namePattern.MatchString(name)
}

// Validate returns every fault of s in the order of its parts. It takes a Spec because a Config can no longer show
// duplicate names.
func Validate(s Spec) []Fault {
	v := validator{spec: s, known: make(map[string]Service, len(s.Services))}
	v.count("services", len(s.Services), MaxServices)
	v.count("backers", len(s.Backers), MaxBackers)
	for _, svc := range s.Services {
		if _, twice := v.known[svc.Name]; twice {
			v.fail("services."+svc.Name, "the name is used twice", "one service of each name")
		}
		v.known[svc.Name] = svc
	}
	for _, svc := range s.Services {
		v.service(svc)
	}
	v.backers()
	v.limits()
	if !v.cycles() {
		v.depths()
	}
	return v.faults
}

type validator struct {
	spec   Spec
	known  map[string]Service
	names  string // the known services, for error messages
	faults []Fault
}

func (v *validator) fail(path, problem, allowed string) {
	v.faults = append(v.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}

func (v *validator) count(path string, n, most int) {
	if n > most {
		v.fail(path, fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", most))
	}
}

func (v *validator) name(path, name string) {
	if !ValidName(name) {
		v.fail(path, fmt.Sprintf("name %q", name), NameRule)
	}
}

func (v *validator) number(path string, n, least, most int) {
	if n < least || n > most {
		v.fail(path, strconv.Itoa(n)+" is out of bounds", fmt.Sprintf("%d to %d", least, most))
	}
}

func (v *validator) service(s Service) {
	path := "services." + s.Name
	v.name(path, s.Name)
	if s.Name == ReservedService {
		v.fail(path, "the name is reserved for the nodes' own paths", "any other name")
	}
	v.count(path+".depends-on", len(s.DependsOn), MaxDependencies)
	for i, d := range s.DependsOn[:min(len(s.DependsOn), MaxDependencies)] {
		at := fmt.Sprintf("%s.depends-on[%d]", path, i)
		if slices.Index(s.DependsOn, d) < i {
			v.fail(at, fmt.Sprintf("service %q is listed twice", d), "each service once")
		}
		if _, ok := v.known[d]; !ok {
			v.fail(at, fmt.Sprintf("unknown service %q", d), v.services())
		}
	}
	v.number(path+".slots", s.Slots, 0, MaxSlots)
	if n := v.sharing(); s.Slots > 0 && s.Slots < n {
		v.fail(path+".slots", fmt.Sprintf("%d backers have a share, and %d slots cannot meet all shares at once", n, s.Slots),
			fmt.Sprintf("0 or at least %d, or fewer backers with a share", n))
	}
	v.count(path+".methods", len(s.Methods), MaxMethods)
	seen := map[string]bool{}
	for _, m := range s.Methods {
		at := path + ".methods." + m.Name
		if seen[m.Name] {
			v.fail(at, "the name is used twice", "one method of each name")
		}
		seen[m.Name] = true
		v.name(at, m.Name)
		if m.Priority >= call.NumPriorities {
			v.fail(at+".priority", fmt.Sprintf("priority %d", m.Priority), "critical, high, normal or low")
		}
		if m.Deadline < MinDeadline || m.Deadline > MaxDeadline {
			v.fail(at+".deadline", m.Deadline.String()+" is out of bounds", FormatDuration(MinDeadline)+" to "+FormatDuration(MaxDeadline))
		}
	}
}

// services lists the known names for an error message, cut off so that a message stays readable.
func (v *validator) services() string {
	const most = 12
	if v.names != "" {
		return v.names
	}
	names := make([]string, 0, len(v.known))
	for n := range v.known {
		names = append(names, n)
	}
	slices.Sort(names)
	if len(names) > most {
		v.names = fmt.Sprintf("one of the %d services, for example %s", len(names), strings.Join(names[:most], ", "))
	} else {
		v.names = "one of " + strings.Join(names, ", ")
	}
	return v.names
}

// sharing returns how many backers have a share.
func (v *validator) sharing() int {
	n := 0
	for _, b := range v.spec.Backers {
		if b.SharePercent > 0 {
			n++
		}
	}
	return n
}

func (v *validator) backers() {
	seen := map[string]bool{}
	sum := 0
	for _, b := range v.spec.Backers {
		path := "backers." + b.Name
		if seen[b.Name] {
			v.fail(path, "the name is used twice", "one backer of each name")
		}
		seen[b.Name] = true
		v.name(path, b.Name)
		steps := b.SharePercent / ShareStep
		switch {
		case math.IsNaN(b.SharePercent) || b.SharePercent < 0 || b.SharePercent > MaxSharePercent:
			v.fail(path+".share-percent", FormatPercent(b.SharePercent)+" is out of bounds", "0 to 100")
			continue
		case math.Abs(steps-math.Round(steps)) > 1e-6:
			v.fail(path+".share-percent", FormatPercent(b.SharePercent)+" has more than two decimals", "steps of 0.01")
		}
		sum += int(math.Round(steps))
	}
	if whole := int(MaxSharePercent / ShareStep); sum > whole {
		v.fail("backers", fmt.Sprintf("the shares add up to %s%%, so they cannot all be met", FormatPercent(float64(sum)*ShareStep)),
			"a sum of at most 100%")
	}
}

func (v *validator) limits() {
	l := v.spec.Limits
	v.number("limits.retry-budget", l.RetryBudget, 0, MaxRetryBudget)
	v.number("limits.max-depth", l.MaxDepth, 1, MaxMaxDepth)
	v.number("limits.retry-percent", l.RetryPercent, 0, MaxRetryPercent)
}

// FormatPercent returns p with at most two decimals.
func FormatPercent(p float64) string {
	if r := math.Round(p*100) / 100; r == p || math.Abs(r-p) < 1e-9 {
		return strconv.FormatFloat(r, 'f', -1, 64)
	}
	return strconv.FormatFloat(p, 'g', -1, 64)
}

// FormatDuration returns d as operators write it: 5s, 1h30m, without trailing zero units.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
