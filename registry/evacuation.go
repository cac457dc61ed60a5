package registry

import "time"

// The states of a zone; the empty string is normal operation. Earlier versions stored
// only these strings, and the status API returns them. While a zone is returning, its
// endpoints are treated as warming up until their heartbeats indicate otherwise.
const (
	Evacuated = "evacuated"
	Returning = "returning"
)

// Evacuation is the state of a zone, stored under EvacuationPrefix. The zero value is a
// zone in normal operation.
//
// Several operators may evacuate a zone at the same time. The zone returns only after all
// of them have finished, so begin and finish requests are counted. Requests have no ID,
// and an operator whose response was lost retries: a retry is distinguished from a new
// request by the time since the previous request of the same kind and by whether that one
// was acknowledged, see RepeatWindow.
type Evacuation struct {
	BeginCount  int `json:"begins,omitempty"`
	FinishCount int `json:"finishes,omitempty"`
	// BeginAcknowledged and FinishAcknowledged report whether the node that accepted the
	// newest request of the kind was still alive after it had responded, so that the
	// response most likely arrived.
	BeginAcknowledged  bool `json:"begin_told,omitempty"`
	FinishAcknowledged bool `json:"finish_told,omitempty"`
}

// State returns Evacuated, Returning or, in normal operation, the empty string.
func (e Evacuation) State() string {
	switch {
	case e.BeginCount == 0:
		return ""
	case e.BeginCount > e.FinishCount:
		return Evacuated
	}
	return Returning
}

// RepeatWindow is the time after a request during which another request of the same kind
// counts as a retry. Acknowledged applies if the earlier request was acknowledged;
// Unacknowledged, which is longer, applies if its response may have been lost.
type RepeatWindow struct{ Acknowledged, Unacknowledged time.Duration }

// ApplyRequest returns the state after a request to begin or to finish an evacuation. age
// is the time since the newest request of the same kind. A retry, or a finish request for
// a zone that is not evacuated, leaves the state unchanged.
func (e Evacuation) ApplyRequest(begin bool, age time.Duration, window RepeatWindow) Evacuation {
	if e.isRepeat(begin, age, window) {
		return e
	}
	if begin {
		e.BeginCount++
		e.BeginAcknowledged = false
		return e
	}
	if e.State() != Evacuated {
		return e
	}
	e.FinishCount++
	e.FinishAcknowledged = false
	return e
}

// isRepeat reports whether a request counts as a retry of the newest one of its kind.
func (e Evacuation) isRepeat(begin bool, age time.Duration, window RepeatWindow) bool {
	count, acknowledged := e.FinishCount, e.FinishAcknowledged
	if begin {
		count, acknowledged = e.BeginCount, e.BeginAcknowledged
	}
	if count == 0 || begin && e.State() == Returning {
		return false // a begin request after the last finish is new regardless of age
	}
	if acknowledged {
		return age < window.Acknowledged
	}
	return age < window.Unacknowledged
}

// Acknowledge returns the state after the node that accepted the newest request of a kind
// was found alive after its response.
func (e Evacuation) Acknowledge(begin bool) Evacuation {
	if begin {
		e.BeginAcknowledged = e.BeginCount > 0
	} else {
		e.FinishAcknowledged = e.FinishCount > 0
	}
	return e
}

// Encode encodes the evacuation as the value of an object.
func (e Evacuation) Encode() []byte { return marshalValue(e) }

// DecodeEvacuation decodes an evacuation from an object's value. An empty value is a zone
// in normal operation. An unreadable value counts as evacuated, which is the safer
// assumption. Earlier versions wrote only the name of the state, without counts.
func DecodeEvacuation(o Object) Evacuation {
	evacuatedOnce := Evacuation{BeginCount: 1, BeginAcknowledged: true}
	switch string(o.Value) {
	case "":
		return Evacuation{}
	case Returning:
		returning := evacuatedOnce
		returning.FinishCount = 1
		returning.FinishAcknowledged = true
		return returning
	}
	if e, err := unmarshalValue[Evacuation](o); err == nil && e.BeginCount > 0 {
		return e
	}
	return evacuatedOnce
}
