// Package apierror is the closed list of error kinds and the one table from kind
// to answer (error taxonomy and status mapping).
package apierror

import (
	"errors"
	"fmt"
)

// Kind names one way a call can fail. The list is closed: every answer that
// this system makes by itself is one of these.
type Kind uint8

// The kinds. Unknown means that the call may have taken effect; Unavailable
// and Overloaded promise that it has not and never will.
const (
	Internal Kind = iota
	BadRequest
	Invalid
	NoRoute
	NoKey
	HeaderTimeout
	Held
	Conflict
	Expired
	Mismatch
	BodyTooLarge
	HeaderTooLarge
	Overloaded
	BadGateway
	Unavailable
	Unknown
	Deadline
	kinds
)

type row struct {
	name   string
	status int
	text   string
}

var table = [kinds]row{
	Internal:       {"internal", 500, "internal error"},
	BadRequest:     {"bad_request", 400, "request cannot be read"},
	Invalid:        {"invalid", 400, "configuration is invalid"},
	NoRoute:        {"no_route", 404, "no route"},
	NoKey:          {"no_key", 404, "no such key"},
	HeaderTimeout:  {"header_timeout", 408, "header took too long"},
	Held:           {"held", 409, "lock is held by another"},
	Conflict:       {"conflict", 409, "stands against what was decided"},
	Expired:        {"expired", 410, "revision is older than the history"},
	Mismatch:       {"mismatch", 412, "key has another revision"},
	BodyTooLarge:   {"body_too_large", 413, "body is too large"},
	HeaderTooLarge: {"header_too_large", 431, "header is too large"},
	Overloaded:     {"overloaded", 429, "too many requests"},
	BadGateway:     {"bad_gateway", 502, "endpoint failed"},
	Unavailable:    {"unavailable", 503, "not available, nothing was done"},
	Unknown:        {"unknown", 504, "no clear outcome"},
	Deadline:       {"deadline", 504, "deadline reached"},
}

// Status is the HTTP status that answers the kind.
func (k Kind) Status() int { return table[k].status }

// Text is the plain sentence that goes with the kind.
func (k Kind) Text() string { return table[k].text }

// String is the kind's name in logs, counters and bodies.
func (k Kind) String() string { return table[k].name }

// All lists every kind in order.
func All() []Kind {
	out := make([]Kind, kinds)
	for i := range out {
		out[i] = Kind(i)
	}
	return out
}

// Error carries a kind and what is known about the cause.
type Error struct {
	Kind   Kind
	Detail string
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.Text()
	}
	return e.Kind.Text() + ": " + e.Detail
}

// New makes an error of a kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Of finds the kind of any error; what carries none is Internal.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
