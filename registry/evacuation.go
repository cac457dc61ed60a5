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
	Begins   int `json:"begins,omitempty"`
	Finishes int `json:"finishes,omitempty"`
	// Told says that the node that took the newest order of a kind lived on after
	// its answer.
	BeginTold  bool `json:"begin_told,omitempty"`
	FinishTold bool `json:"finish_told,omitempty"`
}

// State tells how the zone is used; it is empty for ordinary use.
func (e Evacuation) State() string {
	switch {
	case e.Begins == 0:
		return ""
	case e.Begins > e.Finishes:
		return Evacuated
	}
	return Returning
}

// Repeats bound how long after an order another of its kind may be the same one:
// Told for one that was answered, Untold for one that may not have been.
type Repeats struct{ Told, Untold time.Duration }

// Order gives the state after an order; age is the time since the newest one of
// its kind. What is a repeat, or changes nothing, gives the same state.
func (e Evacuation) Order(begin bool, age time.Duration, r Repeats) Evacuation {
	had, told := e.Finishes > 0, e.FinishTold
	if begin {
		had, told = e.Begins > 0, e.BeginTold
	}
	bound := r.Untold
	if told {
		bound = r.Told
	}
	switch {
	case begin && e.State() == Returning: // new, whatever came before
	case had && age < bound:
		return e
	case !begin && e.State() != Evacuated:
		return e // nothing to take back
	}
	if begin {
		e.Begins, e.BeginTold = e.Begins+1, false
	} else {
		e.Finishes, e.FinishTold = e.Finishes+1, false
	}
	return e
}

// Answered gives the state once the node that took the newest order of a kind has
// lived on after its answer.
func (e Evacuation) Answered(begin bool) Evacuation {
	if begin {
		e.BeginTold = e.Begins > 0
	} else {
		e.FinishTold = e.Finishes > 0
	}
	return e
}

// Encode writes the evacuation as an object's value.
func (e Evacuation) Encode() []byte { return encode(e) }

// DecodeEvacuation reads an object's value. Where there is none, the zone is in
// ordinary use; what cannot be read counts as emptied, the safer side. Earlier
// versions wrote the state alone.
func DecodeEvacuation(o Object) Evacuation {
	once := Evacuation{Begins: 1, BeginTold: true}
	switch string(o.Value) {
	case "":
		return Evacuation{}
	case Returning:
		once.Finishes, once.FinishTold = 1, true
		return once
	}
	if e, err := decode[Evacuation](o); err == nil && e.Begins > 0 {
		return e
	}
	return once
}
