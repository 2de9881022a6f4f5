// Package process provides what all daemons need: background loops that end together,
// and a seed for random number generators.
package process

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"fmt"
	"runtime/debug"

	"gopkg.in/tomb.v2"
)

// Go runs f in a goroutine of the tomb. The context of f is cancelled when the tomb is
// dying, and an error of f is wrapped with name.
func Go(t *tomb.Tomb, name string, f func(ctx context.Context) error) {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		if err := f(ctx); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	})
}

// memoryShare is the fraction of the memory of a process that is set as the runtime's memory limit.
// The rest is reserved for kernel buffers and garbage that is not yet collected.
const memoryShare = 0.7

// LimitMemory sets the runtime's memory limit for a process that may use the given number of bytes,
// zero if it is not known.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
}

// Seed returns a random seed.
func Seed() uint64 {
	var data [8]byte
	_, _ = cryptorand.Read(data[:]) // Never returns an error.
	return binary.LittleEndian.Uint64(data[:])
}
