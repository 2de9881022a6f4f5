package overload

import "net/http"

// Limits of HTTP/2 connections, which are not in the account.
const (
	// connectionBufferBytes and streamBufferBytes limit the bytes of a connection and of a request
	// that have been received and that no handler has read yet.
	connectionBufferBytes = 128 << 10
	streamBufferBytes     = 64 << 10
	// frameBytes limits the size of a frame: the server keeps a buffer of the largest one for each
	// connection.
	frameBytes = 16 << 10
)

// HTTP2Config returns the settings of HTTP/2 for the server of a Listener, with at most maxStreams
// concurrent requests on a connection.
func HTTP2Config(maxStreams int) *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReadFrameSize: frameBytes,
		MaxReceiveBufferPerConnection: connectionBufferBytes, MaxReceiveBufferPerStream: streamBufferBytes,
	}
}
