package cli

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"os/user"

	"mustardmast"
	"mustardmast/io/operator"
	"mustardmast/io/platform"
)

// ProcessEnv returns the Env of this process, with its standard streams, the login name, random change ids, and clients
// that use HTTP.
func ProcessEnv(clock mustardmast.Clock) Env {
	return Env{
		Out: os.Stdout, Err: os.Stderr, In: os.Stdin, User: loginName(), Clock: clock, NewID: newID,
		Platform: func(url string) (mustardmast.Platform, error) { return platform.New(platform.Settings{URL: url}) },
		Node: func(address string) (*operator.Client, error) {
			return operator.NewClient(address, operator.DefaultTimeout)
		},
	}
}

func loginName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("LOGNAME")
}

// newID returns 128 random bits, so that the change ids of different operators do not collide.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails; the runtime terminates the process instead
	return hex.EncodeToString(b[:])
}
