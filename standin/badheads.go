package standin

import (
	"fmt"
	"strings"
)

// InvalidStatuses returns answers whose status is none, by their status. header holds further lines of the head.
func InvalidStatuses(header, body string) map[string]string {
	answers := make(map[string]string)
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999", "00", "2000", "20x", ""} {
		answers["status "+status] = fmt.Sprintf("HTTP/1.1 %s OK\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}
	return answers
}

// InvalidNames returns answers with the name of a field that is none, by what is wrong with it. header holds
// further lines of the head.
func InvalidNames(header, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	answers := map[string]string{
		"length":         "HTTP/1.1 200 OK\r\n" + header + strings.Replace(length, ":", " :", 1) + "\r\n" + body,
		"other length":   "HTTP/1.1 200 OK\r\n" + header + "Content-Length : 3\r\n" + "\r\n" + body,
		"chunks":         "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"interim head":   "HTTP/1.1 103 Early Hints\r\nLi nk: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + header + length + "\r\n" + body,
		"last line":      "HTTP/1.1 200 OK\r\n" + header + length + "Other : x\r\n\r\n" + body,
		"line feeds":     strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+header+length+"Other : x\r\n\r\n", "\r\n", "\n") + body,
		"empty":          "HTTP/1.1 200 OK\r\n" + header + ": x\r\n" + length + "\r\n" + body,
		"without colon":  "HTTP/1.1 200 OK\r\n" + header + "Other\r\n" + length + "\r\n" + body,
		"beyond ASCII":   "HTTP/1.1 200 OK\r\n" + header + "\xd6ther: x\r\n" + length + "\r\n" + body,
		"failed answer":  "HTTP/1.1 500 Failed\r\n" + header + "Other : x\r\n" + length + "\r\n" + body,
		"without length": "HTTP/1.1 200 OK\r\n" + header + "Other : x\r\n\r\n" + body,
	}
	for _, b := range []byte{0, 1, '\t', '\v', '\f', '\r', 0x1b, ' ', 0x7f} {
		answers[fmt.Sprintf("%#02x", b)] = "HTTP/1.1 200 OK\r\n" + header + "Ot" + string(b) + "her: x\r\n" + length + "\r\n" + body
	}
	return answers
}

// InvalidVersions returns answers with a version of HTTP that is none, or whose framing it does not have.
func InvalidVersions(header, body string) map[string]string {
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	answers := map[string]string{
		"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunks and length in HTTP/1.0": "HTTP/1.0 200 OK\r\n" + header + "Content-Length: 3\r\ntransfer-encoding: chunked\r\n\r\n" + chunks,
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.7", "HTTP/11", "http/1.1", "ICY", "HTTP/1.x"} {
		answers[version] = fmt.Sprintf("%s 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", version, header, len(body), body)
	}
	return answers
}

// InvalidHeads returns the answers of InvalidStatuses, InvalidNames and InvalidVersions.
func InvalidHeads(header, body string) map[string]string {
	all := make(map[string]string)
	for _, some := range []func(header, body string) map[string]string{InvalidStatuses, InvalidNames, InvalidVersions} {
		for name, answer := range some(header, body) {
			all[name] = answer
		}
	}
	return all
}
