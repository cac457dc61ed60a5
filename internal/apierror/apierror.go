// Package apierror defines the kinds of errors that the system returns to callers, and maps each
// kind to its HTTP status, its name and its message.
//
// A kind tells the caller whether the call was executed and whether a retry makes sense. Every
// error response that a proxy or the control plane generates itself has one of these kinds;
// responses of endpoints are forwarded unchanged.
//
// The package has no mutable state and is safe for concurrent use.
package apierror

import (
	"errors"
	"fmt"
)

// Kind classifies the failure of a call.
type Kind uint8

// The kinds. Their values are sent between processes (transport.Response.Kind), so new kinds must be
// added at the end of the list.
const (
	// Internal is an error without a specific kind. The call may have been executed.
	Internal Kind = iota
	// BadRequest is a malformed or incomplete request.
	BadRequest
	// InvalidConfiguration is a configuration that fails validation.
	InvalidConfiguration
	// NoRoute is a request without a matching route, or an API call that does not exist.
	NoRoute
	// NotFound is a call that refers to an object that does not exist.
	NotFound
	// HeaderTimeout is a request whose header did not arrive in time.
	HeaderTimeout
	// LockHeld is a call on a lock that another owner holds, or that the caller has lost.
	LockHeld
	// Conflict is a request that contradicts the stored state.
	Conflict
	// RevisionExpired is a watch from a revision after which not all events are retained.
	RevisionExpired
	// RevisionMismatch is a conditional write to a cell with a different revision.
	RevisionMismatch
	// BodyTooLarge is a request whose body exceeds a limit.
	BodyTooLarge
	// HeaderTooLarge is a request whose header exceeds a limit.
	HeaderTooLarge
	// Overloaded is a request that was rejected because of overload. It was not executed and
	// never will be.
	Overloaded
	// BadGateway is a request for which an endpoint failed. It may have been executed.
	BadGateway
	// Unavailable is a call that cannot be served now. It was not executed and never will be.
	Unavailable
	// UnknownOutcome is a call that may have been executed, or may still be executed later.
	UnknownOutcome
	// DeadlineExceeded is a request whose deadline passed. It may have been executed.
	DeadlineExceeded
	kindCount
)

// kindInfo holds the name, HTTP status and message of a kind.
type kindInfo struct {
	name    string
	status  int
	message string
}

// kindTable holds the kindInfo of every kind. Names, statuses and messages are a public interface.
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

// Status returns the HTTP status code of the kind.
func (k Kind) Status() int { return kindTable[k].status }

// Message returns the human-readable description of the kind that begins the text of an error.
func (k Kind) Message() string { return kindTable[k].message }

// String returns the name of the kind, as used in response bodies, logs and metrics.
func (k Kind) String() string { return kindTable[k].name }

// Error is an error with a kind. It is immutable.
type Error struct {
	Kind Kind
	// Detail describes the cause. It may be empty.
	Detail string
}

// Error returns the message of the kind, followed by the detail if there is one.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.Message()
	}
	return e.Kind.Message() + ": " + e.Detail
}

// New returns an error with a kind and a detail formatted with fmt.Sprintf.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// KindOf returns the kind of the *Error that err is or wraps. For any other error, and for nil, it
// returns Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
