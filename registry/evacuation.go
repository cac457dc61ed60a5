package registry

import "time"

// The states of a zone other than ordinary use, which is the empty string. Values
// written by earlier versions hold these strings alone, and the status API returns
// them. While a zone is returning, its endpoints count as warming up until their
// heartbeats say otherwise.
const (
	Evacuated = "evacuated"
	Returning = "returning"
)

// Evacuation is the state of a zone, as it is stored under EvacuationPrefix. The
// zero value is a zone in ordinary use.
//
// Several operators may evacuate one zone at the same time. The zone returns only when
// each of them has finished, so begin and finish orders are counted. Orders carry no
// identity, and an operator whose answer was lost sends the order again: a repeat is
// distinguished from a new order by its age and by whether the order before it was
// acknowledged, see RepeatWindow.
type Evacuation struct {
	BeginCount  int `json:"begins,omitempty"`
	FinishCount int `json:"finishes,omitempty"`
	// BeginAcknowledged and FinishAcknowledged say that the node that accepted the
	// newest order of the kind was still alive after it had answered, so that its
	// answer most likely arrived.
	BeginAcknowledged  bool `json:"begin_told,omitempty"`
	FinishAcknowledged bool `json:"finish_told,omitempty"`
}

// State returns Evacuated, Returning or, for ordinary use, the empty string.
func (e Evacuation) State() string {
	switch {
	case e.BeginCount == 0:
		return ""
	case e.BeginCount > e.FinishCount:
		return Evacuated
	}
	return Returning
}

// RepeatWindow is how long after an order another one of its kind counts as a
// repeat of it: Acknowledged applies if the earlier order was acknowledged,
// Unacknowledged, which is longer, if its answer may have been lost.
type RepeatWindow struct{ Acknowledged, Unacknowledged time.Duration }

// ApplyOrder returns the state after an order to begin or to finish an evacuation.
// age is the time since the newest order of the same kind. A repeat, and a finish
// without an evacuation, return the state unchanged.
func (e Evacuation) ApplyOrder(begin bool, age time.Duration, window RepeatWindow) Evacuation {
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

// isRepeat reports whether an order counts as a repeat of the newest one of its kind.
func (e Evacuation) isRepeat(begin bool, age time.Duration, window RepeatWindow) bool {
	count, acknowledged := e.FinishCount, e.FinishAcknowledged
	if begin {
		count, acknowledged = e.BeginCount, e.BeginAcknowledged
	}
	if count == 0 || begin && e.State() == Returning {
		return false // a begin after all have finished is new, whatever its age
	}
	if acknowledged {
		return age < window.Acknowledged
	}
	return age < window.Unacknowledged
}

// Acknowledge returns the state after the node that accepted the newest order of a kind
// was seen alive after its answer.
func (e Evacuation) Acknowledge(begin bool) Evacuation {
	if begin {
		e.BeginAcknowledged = e.BeginCount > 0
	} else {
		e.FinishAcknowledged = e.FinishCount > 0
	}
	return e
}

// Encode returns the evacuation as the value of an object.
func (e Evacuation) Encode() []byte { return marshalValue(e) }

// DecodeEvacuation reads an evacuation from an object's value. No value is a zone in
// ordinary use. A value that cannot be read counts as evacuated, the safer side.
// Earlier versions wrote the name of the state alone, without counts.
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
