// Package config is the domain model of the operators' configuration: the services, their dependencies and methods, the
// backers with their shares, and the limits.
//
// A Config is immutable. Its text form is read by package io/configtext, which reports all faults found by Validate.
// Nodes replace the whole Config when its generation changes; it is never edited in place.
package config

import (
	"sort"
	"time"

	"mustardmast/core/call"
)

// Defaults for keys that the configuration text omits.
const (
	DefaultDeadline     = 5 * time.Second
	DefaultRetryBudget  = 3
	DefaultMaxDepth     = 8
	DefaultRetryPercent = 10
)

// Method is one method of a service.
type Method struct {
	Name       string
	Idempotent bool
	Priority   call.Priority
	Long       bool
	Deadline   time.Duration
}

// Service is a service with its methods and the services that it calls.
type Service struct {
	Name      string
	DependsOn []string
	Methods   []Method
	Slots     int // upper bound of the concurrency limit of each target; 0 uses the value that the target reports
}

// Method returns the method with the given name.
func (s Service) Method(name string) (Method, bool) {
	for _, m := range s.Methods {
		if m.Name == name {
			return m, true
		}
	}
	return Method{}, false
}

// Backer is a backer and its share of every service's capacity.
type Backer struct {
	Name         string
	SharePercent float64
}

// Limits are the settings that apply to all services.
type Limits struct {
	RetryBudget  int // retries of one request along its whole chain of calls
	MaxDepth     int // number of calls in a chain, including the one that enters the system
	RetryPercent int // retries between two services, in percent of the first attempts between them
}

// Spec contains the parts of a Config.
type Spec struct {
	Services []Service
	Backers  []Backer
	Limits   Limits
}

// Config is a configuration. The zero value has no services.
type Config struct {
	services map[string]Service
	backers  map[string]Backer
	limits   Limits
}

// New returns the configuration described by s. It does not validate s; see Validate.
func New(s Spec) Config {
	c := Config{
		services: make(map[string]Service, len(s.Services)),
		backers:  make(map[string]Backer, len(s.Backers)),
		limits:   s.Limits,
	}
	for _, v := range s.Services {
		c.services[v.Name] = v
	}
	for _, b := range s.Backers {
		c.backers[b.Name] = b
	}
	return c
}

// Service returns the service with the given name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c Config) Services() []Service {
	l := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		l = append(l, s)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// Backer returns the backer with the given name.
func (c Config) Backer(name string) (Backer, bool) {
	b, ok := c.backers[name]
	return b, ok
}

// Backers returns all backers, sorted by name.
func (c Config) Backers() []Backer {
	l := make([]Backer, 0, len(c.backers))
	for _, b := range c.backers {
		l = append(l, b)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// Limits returns the settings that apply to all services.
func (c Config) Limits() Limits { return c.limits }
