package overload

import (
	"errors"
	"io"
	"time"
)

const (
	// firstBodyBytes is the size of the buffer before a body has come.
	firstBodyBytes = 4 << 10
	// growth is the factor by which a buffer grows when it is full.
	growth = 2
)

// Errors of bodies.
var (
	// ErrTooLarge reports a body that is larger than its limit.
	ErrTooLarge = errors.New("the body is larger than its limit")
	// ErrStalled reports a body that made no progress for too long.
	ErrStalled = errors.New("the body made no progress")
)

// ReadBody reads a body of at most limit bytes into memory of the holder. length is the length that
// the sender announced, or -1. The buffer follows the bytes that have come, not those announced.
// Errors are ErrTooLarge, a *FullError, or those of the reader. The holder keeps the memory of a
// body that is returned.
func ReadBody(r io.Reader, h *Holder, length, limit int64) ([]byte, error) {
	return readAll(r, h, length, limit, h.Reserve)
}

// ReadAnswer is ReadBody for the answer of a backend server. A small answer is kept even if the
// account is full, as the request has run.
func ReadAnswer(r io.Reader, h *Holder, length, limit int64) ([]byte, error) {
	return readAll(r, h, length, limit, h.reserveAnswer)
}

// reserveAnswer takes the memory of a buffer for an answer. A small buffer always finds memory.
func (h *Holder) reserveAnswer(bytes int64) error {
	if bytes <= smallBytes {
		h.Charge(bytes)
		return nil
	}
	return h.Reserve(bytes)
}

// readAll reads up to the end. It takes the memory of its buffers by reserve.
func readAll(r io.Reader, h *Holder, length, limit int64, reserve func(bytes int64) error) (body []byte, err error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // The last byte shows that the body is too large.
	if length >= 0 {
		most = length + 1 // The end of the body is read with the last byte free.
	}
	defer func() {
		if err != nil {
			h.Release(int64(cap(body)))
			body = nil
		}
	}()
	for {
		if len(body) == cap(body) {
			size := grownSize(int64(cap(body)), most)
			if err := reserve(size); err != nil {
				return body, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			h.Release(int64(cap(body)))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			h.Progress(time.Now())
		}
		switch {
		case int64(len(body)) > limit:
			return body, ErrTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// grownSize returns the size of the buffer after one that is full: at most the given size, or one
// byte more if the buffer has reached that.
func grownSize(size, most int64) int64 {
	return min(max(growth*size, firstBodyBytes), max(most, size+1))
}
