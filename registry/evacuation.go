package registry

import "time"

// The states of a zone that is not in ordinary use. While it returns, its
// endpoints count as cold until their beats have told.
const (
	Evacuated = "evacuated"
	Returning = "returning"
)

// Evacuation is a zone that is not in ordinary use, as kept under EvacPrefix +
// the zone; the zero value stands for a zone in ordinary use.
//
// Several operators may empty one zone at a time, and it is back only when each
// has taken back its own order, so orders are counted. They carry no identity,
// and one whose answer was lost is sent again: a repeat is told from a new order
// by its age and by whether the order before it was answered.
type Evacuation struct {
	BeginCount  int `json:"begins,omitempty"`
	FinishCount int `json:"finishes,omitempty"`
	// Acknowledged says that the node that took the newest order of a kind lived on after
	// its answer.
	BeginAcknowledged  bool `json:"begin_told,omitempty"`
	FinishAcknowledged bool `json:"finish_told,omitempty"`
}

// State tells how the zone is used; it is empty for ordinary use.
func (e Evacuation) State() string {
	switch {
	case e.BeginCount == 0:
		return ""
	case e.BeginCount > e.FinishCount:
		return Evacuated
	}
	return Returning
}

// RepeatWindow bound how long after an order another of its kind may be the same one:
// Acknowledged for one that was answered, Untold for one that may not have been.
type RepeatWindow struct{ Acknowledged, Unacknowledged time.Duration }

// ApplyOrder gives the state after an order; age is the time since the newest one of
// its kind. What is a repeat, or changes nothing, gives the same state.
func (e Evacuation) ApplyOrder(begin bool, age time.Duration, r RepeatWindow) Evacuation {
	had, told := e.FinishCount > 0, e.FinishAcknowledged
	if begin {
		had, told = e.BeginCount > 0, e.BeginAcknowledged
	}
	bound := r.Unacknowledged
	if told {
		bound = r.Acknowledged
	}
	switch {
	case begin && e.State() == Returning: // new, whatever came before
	case had && age < bound:
		return e
	case !begin && e.State() != Evacuated:
		return e // nothing to take back
	}
	if begin {
		e.BeginCount, e.BeginAcknowledged = e.BeginCount+1, false
	} else {
		e.FinishCount, e.FinishAcknowledged = e.FinishCount+1, false
	}
	return e
}

// Acknowledge gives the state once the node that took the newest order of a kind has
// lived on after its answer.
func (e Evacuation) Acknowledge(begin bool) Evacuation {
	if begin {
		e.BeginAcknowledged = e.BeginCount > 0
	} else {
		e.FinishAcknowledged = e.FinishCount > 0
	}
	return e
}

// Encode writes the evacuation as an object's value.
func (e Evacuation) Encode() []byte { return marshalValue(e) }

// DecodeEvacuation reads an object's value. Where there is none, the zone is in
// ordinary use; what cannot be read counts as emptied, the safer side. Earlier
// versions wrote the state alone.
func DecodeEvacuation(o Object) Evacuation {
	once := Evacuation{BeginCount: 1, BeginAcknowledged: true}
	switch string(o.Value) {
	case "":
		return Evacuation{}
	case Returning:
		once.FinishCount, once.FinishAcknowledged = 1, true
		return once
	}
	if e, err := unmarshalValue[Evacuation](o); err == nil && e.BeginCount > 0 {
		return e
	}
	return once
}
