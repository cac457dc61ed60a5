package proxy

import "lichentray/internal/apierror"

// phase is how far a hop came: one try of a request at one endpoint.
type phase uint8

// The phases. What ended a hop there (close, reset, silence until the deadline) makes
// no difference to whether the endpoint may have run the request.
const (
	waiting    phase = iota // nothing was begun: no endpoint has a free place, or no budget is left
	dialling                // no connection came up
	unsent                  // on a connection, but not one byte of the request left
	sentPart                // some of it left
	sentWhole               // all of it left, no byte of an answer came
	headPart                // an answer began
	bodyPart                // its head is whole, its body is not
	foreign                 // what came is no answer, or not to this request
	turnedAway              // a whole answer: the endpoint's word that it did not run the request
	failed                  // a whole answer of 5xx without that word
	answered                // any other whole answer
	streaming               // the head of a long answer, whose body goes to the client as it comes
	phases
)

// hopRow is what a phase says by itself.
type hopRow struct {
	// ran tells that the endpoint may have run the request.
	ran bool
	// again tells who may be sent to another endpoint.
	again again
	// reuse tells that the connection may carry another request, if its framing says
	// so too.
	reuse bool
	// own tells that there is an answer of the endpoint that the client may be given.
	own bool
	// kind is what the client is told otherwise, if nothing more is tried.
	kind apierror.Kind
}

type again uint8

const (
	nobody     again = iota
	repeatable       // requests that may run twice
	anybody          // it is certain that this hop did not run it
)

// hops is the table of docs/notes/at-most-once.md.
var hops = [phases]hopRow{
	waiting:    {again: nobody, kind: apierror.Unavailable},
	dialling:   {again: anybody, kind: apierror.BadGateway},
	unsent:     {again: anybody, kind: apierror.BadGateway},
	sentPart:   {ran: true, again: repeatable, kind: apierror.BadGateway},
	sentWhole:  {ran: true, again: repeatable, kind: apierror.BadGateway},
	headPart:   {ran: true, again: repeatable, kind: apierror.BadGateway},
	bodyPart:   {ran: true, again: repeatable, kind: apierror.BadGateway},
	foreign:    {ran: true, again: repeatable, kind: apierror.BadGateway},
	turnedAway: {again: anybody, reuse: true, kind: apierror.Unavailable},
	failed:     {ran: true, again: repeatable, reuse: true, own: true},
	answered:   {ran: true, again: nobody, reuse: true, own: true},
	streaming:  {ran: true, again: nobody, reuse: true, own: true},
}

// state is what holds for a request when a hop has ended.
type state struct {
	repeatable bool // by its route
	consumed   bool // its body was read from the client and is not held
	ran        bool // an earlier hop may have run it
	inTime     bool // its deadline is not reached
	tries      bool // its route allows another try
	budget     bool // the retry budget bears one now; what another try spends is taken when it begins
}

// step is what is done next.
type step uint8

const (
	giveUp    step = iota // answer at once, with an error of this system's own
	elsewhere             // send it to an endpoint that has not had it
	pass                  // give the client the endpoint's answer
)

// decision is what follows from a hop.
type decision struct {
	next step
	ran  bool          // this hop or an earlier one may have run the request
	kind apierror.Kind // the error, if it is given up now
}

// next decides what is done after a hop. A request that may have run is sent again
// only if it may run twice, and is never answered with a status that promises that it
// has not run.
func (p phase) next(s state) decision {
	row := hops[p]
	d := decision{ran: s.ran || row.ran, kind: row.kind}
	if !s.inTime {
		d.kind = apierror.DeadlineExceeded
	}
	switch {
	case !d.ran:
		d.kind = apierror.Unavailable
	case d.kind == apierror.Unavailable:
		d.kind = apierror.BadGateway
	}
	may := row.again == anybody || row.again == repeatable && s.repeatable
	switch {
	case may && s.inTime && s.tries && !s.consumed && (s.budget || !row.own):
		d.next = elsewhere
	case row.own:
		d.next = pass
	}
	return d
}

// passed is the status that a client is given for an endpoint's. 408, 429 and 503
// promise that a request has not run, which an endpoint that means it says otherwise.
func passed(status int, repeatable bool) int {
	if !repeatable && (status == 408 || status == 429 || status == 503) {
		return 502
	}
	return status
}
