// Package config is the operators' text as a domain value: the services, what each depends on, their methods, the
// backers with their shares, and the limits.
//
// A Config is immutable. The text is read by a codec in package io/text, which reports every fault that Validate
// finds. Nodes swap whole Configs by generation; nothing edits one in place.
package config

import (
	"sort"
	"time"

	"mustardmast/core/call"
)

// Defaults for keys that the text leaves out.
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

// Service is one service with its methods and the services that it calls.
type Service struct {
	Name      string
	DependsOn []string
	Methods   []Method
	Slots     int // upper bound for the concurrency limit of each target; 0 takes the target's own figure
}

// Method returns the method with this name.
func (s Service) Method(name string) (Method, bool) {
	for _, m := range s.Methods {
		if m.Name == name {
			return m, true
		}
	}
	return Method{}, false
}

// Backer is one backer and its part of every service's capacity.
type Backer struct {
	Name         string
	SharePercent float64
}

// Limits are the settings that hold for every service.
type Limits struct {
	RetryBudget  int // retries of one request over its whole chain
	MaxDepth     int
	RetryPercent int // retries on one edge, in percent of its first tries
}

// Spec has the parts of a Config by name.
type Spec struct {
	Services []Service
	Backers  []Backer
	Limits   Limits
}

// Config is one configuration. The zero value has no services.
type Config struct {
	services map[string]Service
	backers  map[string]Backer
	limits   Limits
}

// New returns the configuration that s describes. It does not validate; see Validate.
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

// Service returns the service with this name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services by name.
func (c Config) Services() []Service {
	l := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		l = append(l, s)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// Backer returns the backer with this name.
func (c Config) Backer(name string) (Backer, bool) {
	b, ok := c.backers[name]
	return b, ok
}

// Backers returns all backers by name.
func (c Config) Backers() []Backer {
	l := make([]Backer, 0, len(c.backers))
	for _, b := range c.backers {
		l = append(l, b)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// Limits returns the settings that hold for every service.
func (c Config) Limits() Limits { return c.limits }
