package gateway

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
)

const (
	// maxBufferedBytes bounds the size of an answer that is buffered until it is complete.
	maxBufferedBytes = 16 << 20
	// ownBytes is the part of each answer that does not count for the bound on all answers, so
	// that large answers do not prevent usual ones.
	ownBytes = 64 << 10
	// maxAnswerShare is the share of the bound on all answers that one answer may take, as a
	// divisor.
	maxAnswerShare = 4
	// defaultBufferBytes bounds the answers that are buffered together if the memory of the
	// process is not known.
	defaultBufferBytes = 128 << 20
	// growth is the factor by which a buffer may exceed its content.
	growth = 2
)

// answerBuffers bounds the memory of all answers that are buffered until they are complete.
type answerBuffers struct {
	// limit is the bound in bytes, used the part of it that is in use.
	limit int64
	used  atomic.Int64
}

// newAnswerBuffers returns the buffers with a bound in bytes, 0 for the default one.
func newAnswerBuffers(limit int64) *answerBuffers {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	return &answerBuffers{limit: limit}
}

// maxAnswer returns the greatest size of one answer.
func (b *answerBuffers) maxAnswer() int64 {
	return max(min(maxBufferedBytes, b.limit/maxAnswerShare/growth), ownBytes)
}

// read reads to the end. It fails with errAnswerTooLong if the answer, or all answers together, exceed
// their bounds.
func (b *answerBuffers) read(r io.Reader) ([]byte, error) {
	var content bytes.Buffer
	reserved := int64(0)
	defer func() { b.used.Add(-reserved) }()
	for size := int64(ownBytes); ; size = min(growth*size, b.maxAnswer()) {
		n, err := content.ReadFrom(io.LimitReader(r, size-int64(content.Len())))
		if err != nil {
			return nil, err
		}
		if int64(content.Len()) < size {
			return content.Bytes(), nil
		}
		if n == 0 { // The greatest size was reached before.
			return b.readEnd(r, &content)
		}
		if b.used.Add(growth*size) > b.limit {
			reserved += growth * size
			return nil, errAnswerTooLong
		}
		reserved += growth * size
	}
}

// boundReader returns the reader of an answer. One that states no length and goes on beyond ownBytes
// must leave another attempt half of the time, if there may be one.
func (t *task) boundReader(to *target, x *attempt.Exchange) io.Reader {
	if x.Length >= 0 || !t.route.Repeatable() || t.runs+1 >= t.route.Attempts {
		return x
	}
	return &boundReader{r: x, until: to.sent.Add(t.deadline.Sub(to.sent) / 2)}
}

// boundReader fails with errAnswerTooLong for what follows the first ownBytes after a time.
type boundReader struct {
	r     io.Reader
	until time.Time
	n     int64
}

// Read implements io.Reader.
func (b *boundReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.n += int64(n)
	if err == nil && b.n > ownBytes && time.Now().After(b.until) {
		err = errAnswerTooLong
	}
	return n, err
}

// readEnd returns the content of an answer of the greatest size if it ends there.
func (b *answerBuffers) readEnd(r io.Reader, content *bytes.Buffer) ([]byte, error) {
	var next [1]byte
	switch _, err := io.ReadFull(r, next[:]); err {
	case nil:
		return nil, errAnswerTooLong
	case io.EOF:
		return content.Bytes(), nil
	default:
		return nil, err
	}
}
