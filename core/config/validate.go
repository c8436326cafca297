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

// Limits of the values in a configuration. They keep the text below the platform's size limit of one object, and the
// tables that nodes build from it within the budget for control data.
const (
	MaxServices     = 2000
	MaxMethods      = 64 // per service
	MaxDependencies = 32 // per service
	MaxBackers      = 256
	MaxNameLength   = call.MaxNameLength
	MinDeadline     = time.Millisecond
	MaxDeadline     = 24 * time.Hour // maximum value of the deadline header
	MaxSlots        = 100_000
	MaxRetryBudget  = call.MaxRetries
	MaxMaxDepth     = 32
	MaxRetryPercent = 100
	MaxSharePercent = 100
)

// ShareStep is the resolution of shares in percent. Shares are summed in whole steps, so that ten shares of 10% add up
// to exactly 100%.
const ShareStep = 0.01

// ReservedService cannot be used as a service name, because nodes serve their own paths below it.
const ReservedService = "mustardmast"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// NameRule describes the allowed names.
var NameRule = fmt.Sprintf("lower-case letters, digits and inner hyphens, at most %d characters", MaxNameLength)

// Fault is one problem found in a configuration.
type Fault struct {
	Path    string // for example services.socket-board.methods.assign.deadline
	Problem string
	Allowed string
}

// String formats the fault as one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem + "; allowed: " + f.Allowed }

// ValidName reports whether name is allowed for a service, method or backer.
func ValidName(name string) bool {
	return len(name) <= MaxNameLength && namePattern.MatchString(name)
}

// Validate returns all faults of s. It takes a Spec because a Config cannot represent duplicate names.
func Validate(s Spec) []Fault {
	v := validator{spec: s, known: make(map[string]Service, len(s.Services))}
	v.checkCount("services", len(s.Services), MaxServices)
	v.checkCount("backers", len(s.Backers), MaxBackers)
	for _, svc := range s.Services {
		if _, twice := v.known[svc.Name]; twice {
			v.addFault("services."+svc.Name, "the name is used twice", "one service of each name")
		}
		v.known[svc.Name] = svc
	}
	for _, svc := range s.Services {
		v.checkService(svc)
	}
	v.checkBackers()
	v.checkLimits()
	if !v.checkCycles() {
		v.checkDepths()
	}
	return v.faults
}

type validator struct {
	spec   Spec
	known  map[string]Service
	names  string // list of the known services for error messages
	faults []Fault
}

func (v *validator) addFault(path, problem, allowed string) {
	v.faults = append(v.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}

func (v *validator) checkCount(path string, n, limit int) {
	if n > limit {
		v.addFault(path, fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", limit))
	}
}

func (v *validator) checkName(path, name string) {
	if !ValidName(name) {
		v.addFault(path, fmt.Sprintf("name %q", name), NameRule)
	}
}

func (v *validator) checkRange(path string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		v.addFault(path, strconv.Itoa(n)+" is out of bounds", fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

func (v *validator) checkService(s Service) {
	path := "services." + s.Name
	v.checkName(path, s.Name)
	if s.Name == ReservedService {
		v.addFault(path, "the name is reserved for the nodes' own paths", "any other name")
	}
	v.checkCount(path+".depends-on", len(s.DependsOn), MaxDependencies)
	for i, d := range s.DependsOn[:min(len(s.DependsOn), MaxDependencies)] {
		at := fmt.Sprintf("%s.depends-on[%d]", path, i)
		if slices.Index(s.DependsOn, d) < i {
			v.addFault(at, fmt.Sprintf("service %q is listed twice", d), "each service once")
		}
		if _, ok := v.known[d]; !ok {
			v.addFault(at, fmt.Sprintf("unknown service %q", d), v.serviceList())
		}
	}
	v.checkRange(path+".slots", s.Slots, 0, MaxSlots)
	if n := v.backersWithShare(); s.Slots > 0 && s.Slots < n {
		v.addFault(path+".slots", fmt.Sprintf("%d backers have a share, and %d slots cannot meet all shares at once", n, s.Slots),
			fmt.Sprintf("0 or at least %d, or fewer backers with a share", n))
	}
	v.checkCount(path+".methods", len(s.Methods), MaxMethods)
	seen := map[string]bool{}
	for _, m := range s.Methods {
		at := path + ".methods." + m.Name
		if seen[m.Name] {
			v.addFault(at, "the name is used twice", "one method of each name")
		}
		seen[m.Name] = true
		v.checkName(at, m.Name)
		if m.Priority >= call.NumPriorities {
			v.addFault(at+".priority", fmt.Sprintf("priority %d", m.Priority), "critical, high, normal or low")
		}
		if m.Deadline < MinDeadline || m.Deadline > MaxDeadline {
			v.addFault(at+".deadline", m.Deadline.String()+" is out of bounds", FormatDuration(MinDeadline)+" to "+FormatDuration(MaxDeadline))
		}
	}
}

// serviceList lists the known service names for an error message, truncated to keep the message readable.
func (v *validator) serviceList() string {
	const maxListed = 12
	if v.names != "" {
		return v.names
	}
	names := make([]string, 0, len(v.known))
	for n := range v.known {
		names = append(names, n)
	}
	slices.Sort(names)
	if len(names) > maxListed {
		v.names = fmt.Sprintf("one of the %d services, for example %s", len(names), strings.Join(names[:maxListed], ", "))
	} else {
		v.names = "one of " + strings.Join(names, ", ")
	}
	return v.names
}

// backersWithShare returns the number of backers with a share.
func (v *validator) backersWithShare() int {
	n := 0
	for _, b := range v.spec.Backers {
		if b.SharePercent > 0 {
			n++
		}
	}
	return n
}

func (v *validator) checkBackers() {
	seen := map[string]bool{}
	total := 0
	for _, b := range v.spec.Backers {
		path := "backers." + b.Name
		if seen[b.Name] {
			v.addFault(path, "the name is used twice", "one backer of each name")
		}
		seen[b.Name] = true
		v.checkName(path, b.Name)
		steps := b.SharePercent / ShareStep
		switch {
		case math.IsNaN(b.SharePercent) || b.SharePercent < 0 || b.SharePercent > MaxSharePercent:
			v.addFault(path+".share-percent", FormatPercent(b.SharePercent)+" is out of bounds", "0 to 100")
			continue
		case math.Abs(steps-math.Round(steps)) > 1e-6:
			v.addFault(path+".share-percent", FormatPercent(b.SharePercent)+" has more than two decimals", "steps of 0.01")
		}
		total += int(math.Round(steps))
	}
	if maxSteps := int(MaxSharePercent / ShareStep); total > maxSteps {
		v.addFault("backers", fmt.Sprintf("the shares add up to %s%%, so they cannot all be met", FormatPercent(float64(total)*ShareStep)),
			"a sum of at most 100%")
	}
}

func (v *validator) checkLimits() {
	l := v.spec.Limits
	v.checkRange("limits.retry-budget", l.RetryBudget, 0, MaxRetryBudget)
	v.checkRange("limits.max-depth", l.MaxDepth, 1, MaxMaxDepth)
	v.checkRange("limits.retry-percent", l.RetryPercent, 0, MaxRetryPercent)
}

// FormatPercent formats p without trailing zeros. Values that are multiples of 0.01 have at most two decimals.
func FormatPercent(p float64) string {
	if r := math.Round(p*100) / 100; r == p || math.Abs(r-p) < 1e-9 {
		return strconv.FormatFloat(r, 'f', -1, 64)
	}
	return strconv.FormatFloat(p, 'g', -1, 64)
}

// FormatDuration formats d as operators write it: 5s, 1h30m, without trailing zero units.
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
