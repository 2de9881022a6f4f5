package engine

import (
	"io"

	"github.com/bronzeturn/bronzeturn/overload"
)

// answerMemory is the memory of one answer, which is part of that of the caller's request. It is not
// safe for concurrent use, but the request may have several.
type answerMemory struct {
	// request is nil if the memory is not bounded.
	request *overload.Request
	held    int64
}

// most returns the size in bytes of the largest part of an answer that may be kept, at most limit.
func (m *answerMemory) most(limit int64) int64 {
	if m.request == nil {
		return limit
	}
	return m.request.MaxAnswer(limit)
}

// reserve takes memory for a buffer. The error is an *overload.FullError.
func (m *answerMemory) reserve(bytes int64) error {
	if m.request == nil {
		return nil
	}
	if err := m.request.ReserveAnswer(bytes); err != nil {
		return err
	}
	m.held += bytes
	return nil
}

// release returns the memory of a buffer.
func (m *answerMemory) release(bytes int64) {
	if m.request == nil {
		return
	}
	m.request.Release(bytes)
	m.held -= bytes
}

// releaseAll returns all memory.
func (m *answerMemory) releaseAll() { m.release(m.held) }

// readAll reads an answer of at most limit bytes, or fewer if memory is short, to its end. length is its
// announced length, or -1. Errors are those of overload.ReadAnswer.
func (m *answerMemory) readAll(r io.Reader, length, limit int64) ([]byte, error) {
	if m.request == nil {
		return overload.ReadAnswer(r, overload.NewAccount(0).Open(nil), length, limit)
	}
	body, err := m.request.ReadAnswer(r, length, m.most(limit))
	m.held += int64(cap(body))
	return body, err
}
