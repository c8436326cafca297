package mustardmast

import "context"

// Object is a value in the platform's object API.
type Object struct {
	Name    string
	Version uint64 // 0 means that the object does not exist
	Value   []byte
}

// Platform is the platform's object API, which holds the state that must outlive hosts. Its methods are safe for
// concurrent use.
//
// Errors are *fault.Error with the kinds not-found, conflict, platform-unavailable (nothing was written) and
// write-unknown (the write may have taken effect).
type Platform interface {
	// Get reads an object.
	Get(ctx context.Context, name string) (Object, error)

	// Put writes o if the object's current version is o.Version (0: it must not exist) and returns the new version.
	Put(ctx context.Context, o Object) (Object, error)

	// Watch waits until the object's version differs from after and returns the object. A waiting watch counts as one
	// call.
	Watch(ctx context.Context, name string, after uint64) (Object, error)
}
