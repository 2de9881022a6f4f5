package e2e

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
)

// stalledBody is a body of the given content that then neither continues nor ends until it is
// closed.
type stalledBody struct {
	content io.Reader
	// sent is closed when the content has been read.
	sent     chan struct{}
	once     sync.Once
	released <-chan struct{}
}

// Read implements io.Reader.
func (b *stalledBody) Read(p []byte) (int, error) {
	if n, err := b.content.Read(p); err == nil {
		return n, nil
	}
	b.once.Do(func() { close(b.sent) })
	<-b.released
	return 0, io.ErrUnexpectedEOF
}

// Close implements io.Closer.
func (b *stalledBody) Close() error { return nil }

// streams are requests whose bodies stop short of their end, as streams of a few HTTP/2 connections.
type streams struct {
	connections, each int
	url               string
	header            http.Header
	body              []byte
	// established is set if each connection is open before its other requests begin, so that all of
	// them share it.
	established bool
}

// enter starts the requests and returns once each has sent its body or failed. The returned
// function ends them.
func (s *streams) enter() (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var sending, running sync.WaitGroup
	var transports []*http.Transport
	for range s.connections {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		transports = append(transports, transport)
		sending.Go(func() {
			var first, others sync.WaitGroup
			for i := range s.each {
				group := &others
				if i == 0 {
					group = &first
				}
				group.Add(1)
				running.Go(func() { s.request(ctx, transport, sync.OnceFunc(group.Done)) })
				if s.established {
					first.Wait()
				}
			}
			first.Wait()
			others.Wait()
		})
	}
	sending.Wait()
	return func() {
		cancel()
		running.Wait()
		for _, transport := range transports {
			transport.CloseIdleConnections()
		}
	}
}

// request sends a request whose body does not end until ctx is done, and calls sent once its content
// has been sent or the request has ended.
func (s *streams) request(ctx context.Context, transport *http.Transport, sent func()) {
	defer sent()
	body := &stalledBody{content: bytes.NewReader(s.body), sent: make(chan struct{}), released: ctx.Done()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, body)
	if err != nil {
		return
	}
	req.Header = s.header.Clone()
	timer := time.AfterFunc(crowdTimeout, sent)
	defer timer.Stop()
	go func() {
		select {
		case <-body.sent:
			sent()
		case <-ctx.Done():
		}
	}()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// withstandsStreams is withstands for a crowd of streams.
func (u *unrulyTarget) withstandsStreams(s *streams) {
	u.withstandsAll(s.enter)
}

func TestUnrulyChatStreamsOfOneConnection(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstandsStreams(&streams{
		connections: 2, each: 120, url: "http://" + u.callers + callerapi.PathChatCompletions,
		header: http.Header{"Authorization": {"Bearer " + key}}, body: bytes.Repeat([]byte("b"), unrulyBodyBytes-1),
	})
}

// TestUnrulyChatMessagesToPeers sends unfinished messages to the listener for other daemons.
func TestUnrulyChatMessagesToPeers(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstandsStreams(messagesToPeers("http://" + u.others[2]))
}

// TestUnrulyEntryMessagesToPeers sends unfinished messages to the listener for other daemons.
func TestUnrulyEntryMessagesToPeers(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstandsStreams(messagesToPeers("http://" + u.others[2]))
}

// messagesToPeers are calls between daemons whose message stops just short of its end.
func messagesToPeers(address string) *streams {
	const message = 1 << 20
	body := binary.BigEndian.AppendUint32([]byte{0}, message) // The prefix of a message in a stream.
	return &streams{
		connections: 4, each: 100, url: address + "/bronzeturn.v1.RelayService/Connect",
		header: http.Header{"Content-Type": {"application/connect+proto"}, "Connect-Protocol-Version": {"1"}},
		body:   append(body, make([]byte, message-1)...),
	}
}

// TestUnrulyChatIdleStreamsToPeers opens streams to the listener for other daemons that carry no message.
func TestUnrulyChatIdleStreamsToPeers(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstandsStreams(idleStreamsToPeers("http://" + u.others[2]))
}

// TestUnrulyEntryIdleStreamsToPeers opens streams to the listener for other daemons that carry no message.
func TestUnrulyEntryIdleStreamsToPeers(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstandsStreams(idleStreamsToPeers("http://" + u.others[2]))
}

// idleStreamsToPeers are calls between daemons without a message.
func idleStreamsToPeers(address string) *streams {
	s := messagesToPeers(address)
	s.connections, s.each, s.body, s.established = 40, 100, nil, true
	return s
}

// TestUnrulyChatMessagesToOperators sends unfinished messages to the listener for operators.
func TestUnrulyChatMessagesToOperators(t *testing.T) {
	u := startUnrulyChat(t)
	const message = 64 << 10
	u.withstandsStreams(&streams{
		connections: 20, each: 100, established: true, url: "http://" + u.others[1] + "/bronzeturn.v1.OperatorService/Status",
		header: http.Header{"Content-Type": {"application/proto"}, "Connect-Protocol-Version": {"1"}},
		body:   make([]byte, message-1),
	})
}

// TestUnrulyChatHeadsOfStreams sends heads of many short fields, whose bodies do not begin.
func TestUnrulyChatHeadsOfStreams(t *testing.T) {
	u := startUnrulyChat(t)
	const fields = 700 // HTTP/2 counts 32 bytes for each field.
	header := http.Header{"Authorization": {"Bearer " + key}}
	for i := range fields {
		header.Set(fmt.Sprintf("F%d", i), "x")
	}
	u.withstandsStreams(&streams{connections: 40, each: 100, established: true, url: "http://" + u.callers + callerapi.PathChatCompletions, header: header})
}

// TestUnrulyChatHeadsOfStreamsToPeers sends large heads to the listener for other daemons.
func TestUnrulyChatHeadsOfStreamsToPeers(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstandsStreams(headsToPeers("http://" + u.others[2]))
}

// TestUnrulyEntryHeadsOfStreamsToPeers sends large heads to the listener for other daemons.
func TestUnrulyEntryHeadsOfStreamsToPeers(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstandsStreams(headsToPeers("http://" + u.others[2]))
}

// headsToPeers are calls between daemons with heads of nearly 1 MiB.
func headsToPeers(address string) *streams {
	const field = 900 << 10
	s := idleStreamsToPeers(address)
	s.connections, s.each = 60, 10
	s.header.Set("Long", strings.Repeat("x", field))
	return s
}

// TestUnrulyChatStreamsOfManyConnections is TestUnrulyChatStreamsOfOneConnection for more connections
// with fewer streams each.
func TestUnrulyChatStreamsOfManyConnections(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstandsStreams(&streams{
		connections: 100, each: 20, established: true, url: "http://" + u.callers + callerapi.PathChatCompletions,
		header: http.Header{"Authorization": {"Bearer " + key}}, body: bytes.Repeat([]byte("b"), unrulyBodyBytes-1),
	})
}

// TestUnrulyChatMessagesOfManyPeers is TestUnrulyChatMessagesToPeers for more connections.
func TestUnrulyChatMessagesOfManyPeers(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstandsStreams(messagesOfManyPeers("http://" + u.others[2]))
}

// TestUnrulyEntryMessagesOfManyPeers is TestUnrulyEntryMessagesToPeers for more connections.
func TestUnrulyEntryMessagesOfManyPeers(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstandsStreams(messagesOfManyPeers("http://" + u.others[2]))
}

// messagesOfManyPeers are messagesToPeers on more connections with fewer streams each.
func messagesOfManyPeers(address string) *streams {
	s := messagesToPeers(address)
	s.connections, s.each, s.established = 70, 20, true
	return s
}

// pings are clients that send pings on connections of HTTP/2 and read no answer.
func pings(addresses ...string) crowd {
	const frames, receiveBuffer = 16_000, 4 << 10
	flood := []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	flood = append(flood, bytes.Repeat([]byte("\x00\x00\x08\x06\x00\x00\x00\x00\x00pingping"), frames)...)
	return crowd{clients: 180, addresses: addresses, act: func(_ int, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		_, _ = conn.Write(flood)
	}}
}

// TestUnrulyChatPings floods the listeners for callers and for other daemons with pings.
func TestUnrulyChatPings(t *testing.T) {
	u := startUnrulyChat(t)
	u.withstands(pings(u.callers, u.others[2]))
}

// TestUnrulyEntryPings floods the listener for other daemons with pings.
func TestUnrulyEntryPings(t *testing.T) {
	u := startUnrulyEntry(t)
	u.withstands(pings(u.others[2]))
}
