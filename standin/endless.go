package standin

import (
	"bytes"
	"net/http"
	"time"
)

// Endless names the part of an answer that goes on until its connection is closed.
type Endless string

// The kinds of endless answers.
const (
	// EndlessHeader is a header with ever more lines.
	EndlessHeader Endless = "header"
	// EndlessBody is a JSON body without a length that never ends.
	EndlessBody Endless = "body"
	// EndlessEvent is a stream whose first event never ends, EndlessEvents one with ever more
	// events, and EndlessBlankLines one with ever more empty events.
	EndlessEvent      Endless = "event"
	EndlessEvents     Endless = "events"
	EndlessBlankLines Endless = "blank_lines"
)

// endlessBlock is the number of bytes written every endlessInterval, some 100 Mbit/s.
const (
	endlessBlock    = 16 << 10
	endlessInterval = 1300 * time.Microsecond
)

// writeEndlessly answers with bytes until the client closes the connection.
func writeEndlessly(w http.ResponseWriter, kind Endless) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	begin, unit := "HTTP/1.1 200 OK\r\nConnection: close\r\n", "x"
	switch kind {
	case EndlessHeader:
		unit = "X-Fill: 0123456789abcdef\r\n"
	case EndlessBody:
		begin += "Content-Type: application/json\r\n\r\n\""
	case EndlessEvent:
		begin += "Content-Type: text/event-stream\r\n\r\ndata: "
	case EndlessEvents:
		begin += "Content-Type: text/event-stream\r\n\r\n"
		unit = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}]}\n\n"
	case EndlessBlankLines:
		begin += "Content-Type: text/event-stream\r\n\r\n"
		unit = "\n\n"
	}
	if _, err := conn.Write([]byte(begin)); err != nil {
		return
	}
	block := bytes.Repeat([]byte(unit), endlessBlock/len(unit))
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
		time.Sleep(endlessInterval)
	}
}
