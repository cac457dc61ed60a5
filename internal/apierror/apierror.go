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
	InvalidConfiguration
	NoRoute
	NotFound
	HeaderTimeout
	LockHeld
	Conflict
	RevisionExpired
	RevisionMismatch
	BodyTooLarge
	HeaderTooLarge
	Overloaded
	BadGateway
	Unavailable
	UnknownOutcome
	DeadlineExceeded
	kindCount
)

type kindInfo struct {
	name    string
	status  int
	message string
}

var kindTable = [kindCount]kindInfo{
	Internal:             {"internal", 500, "internal error"},
	BadRequest:           {"bad_request", 400, "request cannot be read"},
	InvalidConfiguration: {"invalid", 400, "configuration is invalid"},
	NoRoute:              {"no_route", 404, "no route"},
	NotFound:             {"no_key", 404, "no such key"},
	HeaderTimeout:        {"header_timeout", 408, "header took too long"},
	LockHeld:             {"held", 409, "lock is held by another"},
	Conflict:             {"conflict", 409, "stands against what was decided"},
	RevisionExpired:      {"expired", 410, "revision is older than the history"},
	RevisionMismatch:     {"mismatch", 412, "key has another revision"},
	BodyTooLarge:         {"body_too_large", 413, "body is too large"},
	HeaderTooLarge:       {"header_too_large", 431, "header is too large"},
	Overloaded:           {"overloaded", 429, "too many requests"},
	BadGateway:           {"bad_gateway", 502, "endpoint failed"},
	Unavailable:          {"unavailable", 503, "not available, nothing was done"},
	UnknownOutcome:       {"unknown", 504, "no clear outcome"},
	DeadlineExceeded:     {"deadline", 504, "deadline reached"},
}

// Status is the HTTP status that answers the kind.
func (k Kind) Status() int { return kindTable[k].status }

// Message is the plain sentence that goes with the kind.
func (k Kind) Message() string { return kindTable[k].message }

// String is the kind's name in logs, counters and bodies.
func (k Kind) String() string { return kindTable[k].name }

// Kinds lists every kind in order.
func Kinds() []Kind {
	out := make([]Kind, kindCount)
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
		return e.Kind.Message()
	}
	return e.Kind.Message() + ": " + e.Detail
}

// New makes an error of a kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// KindOf finds the kind of any error; what carries none is Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
