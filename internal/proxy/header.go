package proxy

import (
	"bytes"
)

// equalFold reports whether a header name or token equals an ASCII string, ignoring case.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		x, y := b[i], s[i]
		if x|0x20 != y|0x20 || (x != y && (x|0x20 < 'a' || x|0x20 > 'z')) {
			return false
		}
	}
	return true
}

// isDigits reports whether b contains only decimal digits.
func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// tokenDelimiters are the visible characters that are not allowed in a token (RFC 9110, section
// 5.6.2).
var tokenDelimiters = []byte(`"(),/:;<=>?@[\]{}`)

// isToken reports whether all characters are allowed in a token, such as a header name.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 || bytes.IndexByte(tokenDelimiters, c) >= 0 {
			return false
		}
	}
	return true
}

// containsToken reports whether a comma-separated list contains a token.
func containsToken(list []byte, token string) bool {
	for _, t := range bytes.Split(list, []byte{','}) {
		if equalFold(bytes.TrimSpace(t), token) {
			return true
		}
	}
	return false
}

// isHopByHop reports whether a request header applies to a single connection (RFC 9110, section
// 7.6.1) or is set by the proxy itself. Such headers are not forwarded.
func isHopByHop(name []byte) bool {
	for _, s := range [...]string{"keep-alive", "proxy-connection", "te", "trailer", "upgrade", "expect", "x-target-instance"} {
		if equalFold(name, s) {
			return true
		}
	}
	return false
}

// isResponseFraming reports whether a response header describes the endpoint's connection or the
// message framing on it. It is not relayed: the proxy's server sets its own.
func isResponseFraming(name []byte) bool {
	for _, s := range [...]string{"connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "trailer", "upgrade"} {
		if equalFold(name, s) {
			return true
		}
	}
	return false
}

// removeConnectionHeaders removes the headers that the Connection header lists, except protected
// ones.
func removeConnectionHeaders(head, connection []byte) []byte {
	for _, token := range bytes.Split(connection, []byte{','}) {
		token = bytes.TrimSpace(token)
		if len(token) == 0 || isProtectedConnectionOption(token) {
			continue
		}
		head = removeHeader(head, string(token))
	}
	return head
}

// isProtectedConnectionOption reports whether a token in a Connection header must not cause a
// header of that name to be removed.
func isProtectedConnectionOption(token []byte) bool {
	for _, s := range [...]string{"close", "keep-alive", "host", "x-attempt-id"} {
		if equalFold(token, s) {
			return true
		}
	}
	return false
}

// removeHeader returns a copy of a request's head without the header lines of the given name.
// The request line is always kept.
func removeHeader(head []byte, name string) []byte {
	lines := bytes.SplitAfter(head, []byte{'\n'})
	out := append([]byte(nil), lines[0]...)
	for _, line := range lines[1:] {
		if i := bytes.IndexByte(line, ':'); i > 0 && equalFold(line[:i], name) {
			continue
		}
		out = append(out, line...)
	}
	return out
}
