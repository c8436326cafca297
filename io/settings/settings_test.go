package settings_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/settings"
)

const valid = `{"name":"host-1","failure-domain":"koper-a","caller-address":"127.0.0.1:7000","peer-address":"127.0.0.1:7001",
"admin-address":"127.0.0.1:7002","platform-url":"http://127.0.0.1:7090","seeds":["127.0.0.1:7101"]}`

// Guards against reporting only the first fault, so that an operator has to start the process once for each.
func TestAllFaultsAreReported(t *testing.T) {
	_, err := settings.Parse([]byte(`{"name":"Host 1","caller-address":"host:1","peer-address":"127.0.0.1:7001",
		"admin-address":"127.0.0.1:7002","platform-url":"ftp://x","drain-timeout":"30"}`))
	for _, key := range []string{"name", "failure-domain", "caller-address", "platform-url", "drain-timeout"} {
		assert.ErrorContains(t, err, key)
	}
}

// Guards against ignoring a misspelt key, which would silently leave the default in force.
func TestUnknownKeyIsRejected(t *testing.T) {
	_, err := settings.Parse([]byte(`{"colour":"x"}`))
	assert.ErrorContains(t, err, "colour")
}

func ExampleParse() {
	s, err := settings.Parse([]byte(valid))
	fmt.Println(s.Name(), s.FailureDomain(), s.DrainTimeout(), len(s.Seeds()), err)
	// Output: host-1 koper-a 30s 1 <nil>
}
