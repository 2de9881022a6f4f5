package standin

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeturn/bronzeturn/engine"
)

// vocabulary holds the words of generated answers. They need no escaping in JSON.
var vocabulary = [...]string{
	"motor", "battery", "lock", "dock", "route", "crate", "sheet", "price",
	"report", "check", "phase", "current", "cable", "wheel", "depot", "pallet",
	"order", "review", "truck", "load", "fault", "sensor", "torque", "brake",
	"kiosk", "gate", "list", "shift", "bolt", "spare", "repair", "test",
}

// promptDigest returns a hash of the messages of a request body. It does not depend
// on the model, the cache salt and other fields.
func promptDigest(body []byte) (uint64, error) {
	text, err := engine.PromptText(body)
	if err != nil {
		return 0, err
	}
	_, messages, _ := bytes.Cut(text, []byte{0})
	return xxhash.Sum64(messages), nil
}

// answerTokens returns the tokens of the answer to the prompt with the digest. The
// last token is a checksum of the prompt.
func answerTokens(digest uint64, count int) []string {
	random := rand.New(rand.NewPCG(digest, uint64(count)))
	tokens := make([]string, count)
	for i := range count - 1 {
		tokens[i] = vocabulary[random.IntN(len(vocabulary))] + " "
	}
	tokens[count-1] = checksum(digest)
	return tokens
}

func checksum(digest uint64) string { return fmt.Sprintf("#%016x", digest) }

// ErrWrongAnswer reports an answer that is incomplete or belongs to another
// request.
var ErrWrongAnswer = errors.New("not the complete answer to the request")

// CheckAnswer verifies that text is the complete answer of an Engine to the
// request with the given body. If it is not, the error wraps ErrWrongAnswer.
func CheckAnswer(body []byte, text string) error {
	digest, err := promptDigest(body)
	if err != nil {
		return err
	}
	count := len(strings.Fields(text))
	if count == 0 || strings.Join(answerTokens(digest, count), "") != text {
		return fmt.Errorf("%w: %d tokens", ErrWrongAnswer, count)
	}
	return nil
}
