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

// ProcessEnv returns the Env of a process: its standard streams, the login name, random change ids, and clients over HTTP.
func ProcessEnv(clock mustardmast.Clock) Env {
	return Env{
		Out: os.Stdout, Err: os.Stderr, In: os.Stdin, User: login(), Clock: clock, NewID: newID,
		Platform: func(url string) (mustardmast.Platform, error) { return platform.New(platform.Settings{URL: url}) },
		Node: func(address string) (*operator.Client, error) {
			return operator.NewClient(address, operator.DefaultTimeout)
		},
	}
}

func login() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("LOGNAME")
}

// newID returns 128 random bits, so that no two operators ever choose the same change id.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails; the runtime ends the process instead
	return hex.EncodeToString(b[:])
}
