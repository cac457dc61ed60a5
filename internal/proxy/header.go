package proxy

import (
	"bytes"
)

// equalFold reports whether a header name or token equals an ASCII string, in any case.
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

// isDigits reports whether there is nothing but decimal digits.
func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// tokenDelimiters are the visible characters that no token contains (RFC 9110, section
// 5.6.2).
var tokenDelimiters = []byte(`"(),/:;<=>?@[\]{}`)

// isToken reports whether all characters may stand in a token, as in a header's name.
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

// isHopByHop reports whether a request header concerns one connection only (RFC 9110,
// section 7.6.1) or is one that the proxy sets itself. Those are not forwarded.
func isHopByHop(name []byte) bool {
	for _, s := range [...]string{"keep-alive", "proxy-connection", "te", "trailer", "upgrade", "expect", "x-target-instance"} {
		if equalFold(name, s) {
			return true
		}
	}
	return false
}

// isResponseFraming reports whether a response header concerns the endpoint's connection
// or the framing on it. The proxy's server sets its own.
func isResponseFraming(name []byte) bool {
	for _, s := range [...]string{"connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "trailer", "upgrade"} {
		if equalFold(name, s) {
			return true
		}
	}
	return false
}

// removeConnectionHeaders removes the headers that a Connection header names, but those
// that every request needs.
func removeConnectionHeaders(head, connection []byte) []byte {
	for _, token := range bytes.Split(connection, []byte{','}) {
		token = bytes.TrimSpace(token)
		if len(token) == 0 || isKeptConnectionOption(token) {
			continue
		}
		head = removeHeader(head, string(token))
	}
	return head
}

// isKeptConnectionOption reports whether a token in a Connection header names no header
// that may be removed.
func isKeptConnectionOption(token []byte) bool {
	for _, s := range [...]string{"close", "keep-alive", "host", "x-attempt-id"} {
		if equalFold(token, s) {
			return true
		}
	}
	return false
}

// removeHeader returns a copy of a request's head without the headers of a name. The
// request line stays.
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
