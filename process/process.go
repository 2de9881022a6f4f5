// Package process holds what every daemon needs of its process: loops that end
// with it, and a seed for its random sources.
package process

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"fmt"

	"gopkg.in/tomb.v2"
)

// Go runs a loop under the tomb. Its context ends with the tomb, and its error
// bears its name.
func Go(t *tomb.Tomb, name string, f func(ctx context.Context) error) {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		if err := f(ctx); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	})
}

// Seed returns a seed that differs between processes.
func Seed() uint64 {
	var data [8]byte
	_, _ = cryptorand.Read(data[:]) // Read never fails.
	return binary.LittleEndian.Uint64(data[:])
}
