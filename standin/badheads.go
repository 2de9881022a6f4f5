package standin

import "fmt"

// InvalidStatuses returns answers whose status is none, by their status. header holds further lines of the head.
func InvalidStatuses(header, body string) map[string]string {
	answers := make(map[string]string)
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999", "00", "2000", "20x", ""} {
		answers["status "+status] = fmt.Sprintf("HTTP/1.1 %s OK\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}
	return answers
}
