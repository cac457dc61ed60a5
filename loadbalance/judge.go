package loadbalance

import (
	"math"
	"sort"
	"time"
)

// Seen is what nodes saw of one endpoint over a while: how many answers, the sum
// of their times over what is usual, how many attempts failed, and at how many
// nodes.
type Seen struct {
	Answers int
	Times   float64
	Bad     int
	Nodes   int
}

// Add sums what was seen.
func (s Seen) Add(o Seen) Seen {
	return Seen{s.Answers + o.Answers, s.Times + o.Times, s.Bad + o.Bad, s.Nodes + o.Nodes}
}

// Verdict is what all nodes together make of an endpoint. Pace is in units of
// 1/32 of what is usual.
type Verdict struct {
	Endpoint string
	Pace     uint8
	Sick     bool
}

const paceUnit = 32

// Judge makes verdicts of what all nodes saw (collaborative outlier detection).
// A node alone sees an endpoint too seldom to learn its pace or that it fails
// some of its requests; and it cannot tell an ill endpoint from trouble of its
// own, so only what two nodes saw fail counts as ill.
type Judge struct {
	lasts time.Duration // after so long half of what was seen is forgotten
	at    time.Duration
	of    map[string]*record
}

// record holds what failed, and out of how many, for a short while, and how fast
// answers came for longer: a pace lasts, and it takes many answers to tell.
type record struct {
	tried, bad, nodes float64
	answers, times    float64
}

const paceLasts = 4 // times as long

// NewJudge makes a judge that has seen nothing.
func NewJudge(lasts time.Duration) *Judge { return &Judge{lasts: lasts, of: map[string]*record{}} }

// See takes what nodes saw since the last time.
func (j *Judge) See(seen map[string]Seen) {
	for id, s := range seen {
		r := j.of[id]
		if r == nil {
			r = &record{}
			j.of[id] = r
		}
		r.tried += float64(s.Answers + s.Bad)
		r.answers += float64(s.Answers)
		r.times += s.Times
		r.bad += float64(s.Bad)
		r.nodes += float64(s.Nodes)
	}
}

const (
	prior    = 3    // answers at the usual pace that every endpoint is given
	sickFrom = 0.25 // of the attempts fail
	sickMost = 0.2  // of a service's endpoints at the most
	known    = 0.06 // a pace this near to the usual one need not be told
)

// Verdicts gives what is to be told of the endpoints of each service; whoever is
// not named is of the usual pace and well.
func (j *Judge) Verdicts(now time.Duration, services map[string][]string) []Verdict {
	halves := float64(now-j.at) / float64(j.lasts)
	short, long := math.Exp2(-halves), math.Exp2(-halves/paceLasts)
	j.at = now
	for id, r := range j.of {
		r.tried, r.bad, r.nodes = r.tried*short, r.bad*short, r.nodes*short
		r.answers, r.times = r.answers*long, r.times*long
		if r.answers < 0.05 && r.tried < 0.05 {
			delete(j.of, id)
		}
	}
	var out []Verdict
	for _, ids := range services {
		var sick []string
		share := func(id string) float64 { r := j.of[id]; return r.bad / r.tried }
		for _, id := range ids {
			if r := j.of[id]; r != nil && r.nodes >= 1.5 && r.tried >= 3 && share(id) > sickFrom {
				sick = append(sick, id)
			}
		}
		sort.Slice(sick, func(i, k int) bool { return share(sick[i]) > share(sick[k]) })
		ill := map[string]bool{}
		for _, id := range sick[:min(len(sick), int(sickMost*float64(len(ids))))] {
			ill[id] = true
		}
		for _, id := range ids {
			r := j.of[id]
			if r == nil {
				continue
			}
			pace := (r.times + prior) / (r.answers + prior)
			if ill[id] || pace < 1-known || pace > 1+known {
				out = append(out, Verdict{id, uint8(min(255, max(8, pace*paceUnit))), ill[id]})
			}
		}
	}
	return out
}

// Collect gives what this node saw since the last time.
func (p *Pool) Collect(to map[string]Seen) {
	for _, e := range p.all {
		if e.seen != (Seen{}) {
			if e.seen.Bad > 0 {
				e.seen.Nodes = 1
			}
			to[e.ID] = e.seen
			e.seen = Seen{}
		}
	}
}

// Bad notes that an endpoint failed a request that it answered.
func (p *Pool) Bad(e *Endpoint) { e.seen.Bad++ }

// SetVerdicts takes what all nodes together make of the endpoints; it holds
// until a moment, and till then this node's own few samples do not count.
func (p *Pool) SetVerdicts(until time.Duration, of map[string]Verdict) {
	p.judged = until
	for _, e := range p.all {
		if v, told := of[e.ID]; told {
			e.slow, e.sick = float64(v.Pace)/paceUnit, v.Sick
		} else {
			e.slow, e.sick = 1, false
		}
	}
}

// SetUse tells how much of the service's slots are in use. While there is room,
// the faster endpoints are worth more than their pace alone says; when there is
// none, each gets what it can work off.
func (p *Pool) SetUse(use float64) {
	p.lean = min(1, max(0, (0.75-use)/0.35))
}
