package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/overload"
)

const (
	// maxBufferedBytes bounds the size of an answer that is buffered until it is complete.
	maxBufferedBytes = 16 << 20
	// ownBytes is the size up to which an answer is usual, so that it is read however long it
	// takes.
	ownBytes = 64 << 10
)

// maxAnswer returns the greatest size of an answer that is buffered.
func maxAnswer(a *overload.Account) int64 { return a.MaxAnswer(maxBufferedBytes) }

// readAnswer reads an answer to its end into memory of the request. It fails with errAnswerTooLong if
// the answer, or all that callers hold, exceeds its bound. length is the announced length, or -1.
func (q *request) readAnswer(r io.Reader, length, limit int64) ([]byte, error) {
	answer, err := q.memory.ReadAnswer(r, length, limit)
	var full *overload.FullError
	if errors.Is(err, overload.ErrTooLarge) || errors.As(err, &full) {
		return nil, errAnswerTooLong
	}
	return answer, err
}

// boundReader returns the reader of an answer. One that states no length and goes on beyond ownBytes
// must leave another attempt half of the time, if there may be one.
func (t *task) boundReader(to *target, x *attempt.Exchange, body io.Reader) io.Reader {
	if x.Length >= 0 || !t.route.Repeatable() || t.runs+1 >= t.route.Attempts {
		return body
	}
	return &boundReader{r: body, until: to.sent.Add(t.deadline.Sub(to.sent) / 2)}
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
