// Package apierror is the closed list of the kinds of errors that the system answers with, and
// the one table from a kind to its HTTP status and its name.
//
// A kind tells a caller what it may rely on: whether the call was carried out, and whether it
// makes sense to try again. Every answer that the system makes by itself, at a proxy or at the
// control plane, has one of these kinds; answers of endpoints are passed on as they are.
//
// The package has no state, and everything in it is safe for concurrent use.
package apierror

import (
	"errors"
	"fmt"
)

// Kind is one way in which a call can fail.
type Kind uint8

// The kinds. Their values are sent between processes (transport.Response.Kind): a new kind goes to
// the end of the list.
const (
	// Internal is an error that has no kind. The call may have been carried out.
	Internal Kind = iota
	// BadRequest is a request that cannot be read or lacks something.
	BadRequest
	// InvalidConfiguration is a configuration that does not pass validation.
	InvalidConfiguration
	// NoRoute is a request for which there is no route, or a call that does not exist.
	NoRoute
	// NotFound is a call about something that does not exist.
	NotFound
	// HeaderTimeout is a request whose header did not arrive in time.
	HeaderTimeout
	// LockHeld is a call on a lock that another owner holds, or that the caller has lost.
	LockHeld
	// Conflict is an order that contradicts the stored state.
	Conflict
	// RevisionExpired is a watch from a revision whose successors are no longer retained.
	RevisionExpired
	// RevisionMismatch is a conditional write to a cell that has another revision.
	RevisionMismatch
	// BodyTooLarge is a request whose body exceeds a limit.
	BodyTooLarge
	// HeaderTooLarge is a request whose header exceeds a limit.
	HeaderTooLarge
	// Overloaded is a request that was rejected because of load. It was not carried out and
	// never will be.
	Overloaded
	// BadGateway is a request for which an endpoint failed. It may have been carried out.
	BadGateway
	// Unavailable is a call that cannot be served now. It was not carried out and never will be.
	Unavailable
	// UnknownOutcome is a call that may have been carried out, or may be later.
	UnknownOutcome
	// DeadlineExceeded is a request whose deadline passed. It may have been carried out.
	DeadlineExceeded
	kindCount
)

// kindInfo is how a kind is answered.
type kindInfo struct {
	name    string
	status  int
	message string
}

// kindTable holds all kinds. Names, statuses and messages are public.
var kindTable = [kindCount]kindInfo{
	Internal:             {name: "internal", status: 500, message: "internal error"},
	BadRequest:           {name: "bad_request", status: 400, message: "request cannot be read"},
	InvalidConfiguration: {name: "invalid", status: 400, message: "configuration is invalid"},
	NoRoute:              {name: "no_route", status: 404, message: "no route"},
	NotFound:             {name: "no_key", status: 404, message: "no such key"},
	HeaderTimeout:        {name: "header_timeout", status: 408, message: "header took too long"},
	LockHeld:             {name: "held", status: 409, message: "lock is held by another"},
	Conflict:             {name: "conflict", status: 409, message: "stands against what was decided"},
	RevisionExpired:      {name: "expired", status: 410, message: "revision is older than the history"},
	RevisionMismatch:     {name: "mismatch", status: 412, message: "key has another revision"},
	BodyTooLarge:         {name: "body_too_large", status: 413, message: "body is too large"},
	HeaderTooLarge:       {name: "header_too_large", status: 431, message: "header is too large"},
	Overloaded:           {name: "overloaded", status: 429, message: "too many requests"},
	BadGateway:           {name: "bad_gateway", status: 502, message: "endpoint failed"},
	Unavailable:          {name: "unavailable", status: 503, message: "not available, nothing was done"},
	UnknownOutcome:       {name: "unknown", status: 504, message: "no clear outcome"},
	DeadlineExceeded:     {name: "deadline", status: 504, message: "deadline reached"},
}

// Status returns the HTTP status with which the kind is answered.
func (k Kind) Status() int { return kindTable[k].status }

// Message returns the sentence that describes the kind in the text of an error.
func (k Kind) Message() string { return kindTable[k].message }

// String returns the name of the kind in bodies, logs and metrics.
func (k Kind) String() string { return kindTable[k].name }

// Error is an error of a kind. It is not modified once it is made.
type Error struct {
	Kind Kind
	// Detail says what is known of the cause. It may be empty.
	Detail string
}

// Error returns the message of the kind, followed by the detail if there is one.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.Message()
	}
	return e.Kind.Message() + ": " + e.Detail
}

// New returns an error of a kind, with a detail in the form of fmt.Sprintf.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// KindOf returns the kind of an error that is, or wraps, an *Error. It returns Internal for every
// other error, and for nil.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
