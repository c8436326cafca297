package node

import (
	"sync"
	"sync/atomic"

	"mustardmast/core/config"
	"mustardmast/io/configtext"
)

// Configs holds the current configuration. The control service installs configuration texts; the data path reads the
// configuration without locks.
type Configs struct {
	current  atomic.Pointer[installed]
	mu       sync.Mutex
	watchers []func(config.Config)
}

type installed struct {
	generation uint64
	changeID   string
	config     config.Config
}

// Watch registers f to be called with every configuration that is installed from now on.
func (c *Configs) Watch(f func(config.Config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
}

// Install parses a configuration text and makes it the current configuration. It changes nothing if the text is
// invalid. The caller, core/rollout through io/control, ensures that generations only increase.
func (c *Configs) Install(generation uint64, changeID string, src []byte) error {
	parsed, faults := configtext.Decode(src)
	if len(faults) > 0 {
		return faults
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Store(&installed{generation: generation, changeID: changeID, config: parsed})
	for _, f := range c.watchers {
		f(parsed)
	}
	return nil
}

// Current returns the current configuration and its generation; the last result is false while there is none.
func (c *Configs) Current() (config.Config, uint64, bool) {
	i := c.current.Load()
	if i == nil {
		return config.Config{}, 0, false
	}
	return i.config, i.generation, true
}
