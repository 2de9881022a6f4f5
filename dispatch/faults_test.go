package dispatch

import (
	"testing"

	"pgregory.net/rapid"
)

func TestX(t *testing.T) { rapid.Check(t, func(*rapid.T) {}) }
