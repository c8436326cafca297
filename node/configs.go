package node

import (
	"sync"
	"sync/atomic"

	"mustardmast/core/config"
	"mustardmast/io/configtext"
)

// Configs holds the configuration in force. The control side installs texts; the data path reads without locks.
type Configs struct {
	now      atomic.Pointer[installed]
	mu       sync.Mutex
	watchers []func(config.Config)
}

type installed struct {
	generation uint64
	changeID   string
	config     config.Config
}

// Watch calls f with every configuration that is installed from now on.
func (c *Configs) Watch(f func(config.Config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
}

// Install parses a text and puts it in force. It changes nothing if the text has faults. The caller, core/rollout by
// way of io/control, sees to it that generations only grow.
func (c *Configs) Install(generation uint64, changeID string, src []byte) error {
	parsed, faults := configtext.Decode(src)
	if len(faults) > 0 {
		return faults
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Store(&installed{generation: generation, changeID: changeID, config: parsed})
	for _, f := range c.watchers {
		f(parsed)
	}
	return nil
}

// Current returns the configuration in force and its generation; the last result is false while there is none.
func (c *Configs) Current() (config.Config, uint64, bool) {
	i := c.now.Load()
	if i == nil {
		return config.Config{}, 0, false
	}
	return i.config, i.generation, true
}
