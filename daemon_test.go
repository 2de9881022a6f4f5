package bronzeturn_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/examples"
	"github.com/bronzeturn/bronzeturn/standin"
)

// waitLimit bounds waits for what has to happen; it is no measure of time.
const waitLimit = 30 * time.Second

// startFleet starts a platform and daemons that are ready.
func startFleet(c *qt.C, example string, daemons int) (*demo.Platform, *demo.Fleet) {
	p, err := demo.StartPlatform(example, daemons)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	c.Assert(p.Publish(context.Background()), qt.IsNil)
	f, err := demo.StartFleet(p, demo.FleetOptions{Daemons: daemons, Log: io.Discard})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(f.Stop(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	return p, f
}

// chat is one request of a caller.
type chat struct {
	key          string
	kind         string
	idempotency  string
	conversation string
	model        string
	prompt       string
	stream       bool
}

// result is what the caller got.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (c chat) body() []byte {
	data, _ := json.Marshal(map[string]any{
		"model": c.model, "stream": c.stream,
		"messages": []map[string]string{{"role": "user", "content": c.prompt}},
	})
	return data
}

// send posts the request and reads the whole answer.
func (c chat) send(address string) result {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+callerapi.PathChatCompletions, bytes.NewReader(c.body()))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(callerapi.HeaderKind, c.kind)
	req.Header.Set(callerapi.HeaderIdempotencyKey, c.idempotency)
	req.Header.Set(callerapi.HeaderConversation, c.conversation)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}

// text is the content of a whole or streamed answer.
func (r result) text() string {
	var text strings.Builder
	for _, line := range strings.Split(string(r.body), "\n") {
		var part struct {
			Choices []struct {
				Message struct{ Content string }
				Delta   struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &part) != nil {
			continue
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Message.Content + choice.Delta.Content)
		}
	}
	return text.String()
}

// failure is the error of a refusal.
func (r result) failure() callerapi.ErrorDetail {
	var body callerapi.ErrorBody
	if err := json.Unmarshal(r.body, &body); err != nil {
		return callerapi.ErrorDetail{Code: fmt.Sprintf("no error body: %s", r.body)}
	}
	return body.Error
}

func TestChatIsAnsweredWholeAndStreamed(t *testing.T) {
	c := qt.New(t)
	_, f := startFleet(c, examples.CampinaVerde, 1)
	for _, stream := range []bool{false, true} {
		request := chat{key: "key-dock-kiosks", kind: "quick", prompt: "battery of bike 7?", stream: stream}
		got := request.send(f.Daemons[0].CallerAddress())
		c.Assert(got.err, qt.IsNil)
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		c.Assert(checkAnswer(request, got), qt.IsNil)
	}
}

// checkAnswer compares an answer with what a stand-in engine gives.
func checkAnswer(request chat, got result) error {
	return standin.CheckAnswer(request.body(), got.text())
}
