package rollout

import (
	"fmt"
	"math"
)

// Verdict is the outcome of an analysis.
type Verdict struct {
	Bad     bool   // the target is worse than the base and must be rolled back
	Suspect bool   // it may be: no further traffic should move to it
	Reason  string // if Bad, for people to read
}

// criterion is one way in which a version can be worse than another.
type criterion struct {
	name string
	// A target whose rate of faults exceeds the base's by less than tolerance is
	// accepted; one that exceeds it by tolerance + detectableIncrease must be found.
	tolerance          float64
	detectableIncrease float64
	// countFaults returns the number of faults and of the trials that they are among.
	countFaults func(Counts) (faults, trials int)
}

var criteria = [...]criterion{
	{
		name: "answers fail", tolerance: 0.02, detectableIncrease: 0.10,
		countFaults: func(c Counts) (int, int) { return c.Failed, c.Answers },
	},
	{
		name: "attempts break", tolerance: 0.10, detectableIncrease: 0.25,
		countFaults: func(c Counts) (int, int) { return c.Broken, c.Answers + c.Broken },
	},
	{
		name: "answers are slow", tolerance: 0.10, detectableIncrease: 0.25,
		countFaults: func(c Counts) (int, int) { return c.Slow, c.Timed },
	},
}

// The test is a cumulative sum (CUSUM; Page, "Continuous inspection schemes", 1954) of
// the log-likelihood ratio of each answer under a bad and a tolerable rate. It never
// falls below 0, so that a fault that comes late has no good past to make up for. At
// alarmThreshold the version is bad: a false alarm takes some e^12 answers at the
// tolerable rate, a true one a few dozen at the bad rate. From suspectThreshold on the
// roll-out does not advance.
const (
	alarmThreshold   = 12
	suspectThreshold = 4
)

const (
	// baseRateFactor weighs the base's own rate of faults: both versions meet the same
	// bursts, crashes and broken connections, but not at the same moment.
	baseRateFactor = 1.5
	// baseRateWindow is how many of the base's newest answers its rate is over. It is
	// not a time, as the base gets no answers any more once all traffic has moved.
	baseRateWindow = 2000
	// priorAnswers is how many good answers the base is given beforehand.
	priorAnswers = 20
	// maxTolerableRate and maxBadRate bound the two rates that the test compares.
	maxTolerableRate = 0.6
	maxBadRate       = 0.95
	// minEndpointsToExclude is how many endpoints the target must have for the one with
	// most faults to be left out: it may be unhealthy by itself, whereas a bad version
	// is bad everywhere.
	minEndpointsToExclude = 3
)

// allRoutes is the key under which the sum over all routes is analysed.
const allRoutes = ""

// faultRate is a rate of faults as a fraction.
type faultRate struct{ faults, trials float64 }

// routeAnalysis is the state of the analysis of one route.
type routeAnalysis struct {
	previous  RouteCounts              // as last analysed
	cusum     [len(criteria)]float64   // by criterion
	baseRates [len(criteria)]faultRate // by criterion, over baseRateWindow
}

// Analyzer analyses the evidence of one order as it grows. It is not safe for
// concurrent use.
type Analyzer struct {
	routes map[string]*routeAnalysis
}

// NewAnalyzer returns an analyzer that has seen no evidence.
func NewAnalyzer() *Analyzer {
	return &Analyzer{routes: map[string]*routeAnalysis{}}
}

// Analyze takes all evidence since the order, of a target with this number of
// endpoints, and returns the verdict.
func (a *Analyzer) Analyze(e Evidence, endpoints int) Verdict {
	var total RouteCounts
	for _, counts := range e {
		total = total.add(counts)
	}
	excludeWorst := endpoints >= minEndpointsToExclude
	var verdict Verdict
	a.analyzeRoute(allRoutes, total, excludeWorst, &verdict)
	for route, counts := range e {
		a.analyzeRoute(route, counts, excludeWorst, &verdict)
	}
	return verdict
}

// analyzeRoute adds what is new on a route to its test and a finding to the verdict.
func (a *Analyzer) analyzeRoute(route string, counts RouteCounts, excludeWorst bool, verdict *Verdict) {
	state := a.routes[route]
	if state == nil {
		state = new(routeAnalysis)
		a.routes[route] = state
	}
	previous := state.previous
	state.previous = counts
	newBase := counts.Base.subtract(previous.Base)
	newTarget := counts.Target.subtract(previous.Target)
	for i := range criteria {
		criterion := &criteria[i]
		base := &state.baseRates[i]
		base.add(criterion.countFaults(newBase))
		faults, trials := criterion.countFaults(newTarget)
		if excludeWorst {
			faults -= criterion.faultsOfWorst(counts.Ill, previous.Ill)
		}
		if trials <= 0 || faults < 0 {
			continue
		}
		cusum := &state.cusum[i]
		*cusum = criterion.nextCUSUM(*cusum, *base, faults, trials)
		if *cusum >= suspectThreshold {
			verdict.Suspect = true
		}
		if *cusum >= alarmThreshold && !verdict.Bad {
			verdict.Bad = true
			verdict.Reason = reason(criterion.name, route, faults, trials, *base)
		}
	}
}

// add adds trials to the rate and keeps the weight of baseRateWindow of them.
func (r *faultRate) add(faults, trials int) {
	r.faults += float64(max(0, faults))
	r.trials += float64(max(0, trials))
	if r.trials > baseRateWindow {
		r.faults = r.faults * baseRateWindow / r.trials
		r.trials = baseRateWindow
	}
}

// nextCUSUM returns the cumulative sum after further trials of the target. It adds the
// logarithm of how much more likely their faults are at a bad rate than at a tolerable
// one.
func (c *criterion) nextCUSUM(cusum float64, base faultRate, faults, trials int) float64 {
	tolerable := min(maxTolerableRate, c.tolerance+baseRateFactor*base.faults/(base.trials+priorAnswers))
	bad := min(maxBadRate, tolerable+c.detectableIncrease)
	cusum += float64(faults) * math.Log(bad/tolerable)
	cusum += float64(trials-faults) * math.Log((1-bad)/(1-tolerable))
	return max(0, cusum)
}

// faultsOfWorst returns the new faults of the endpoint that has shown most, or 0 if
// none has shown any.
func (c *criterion) faultsOfWorst(byEndpoint, previous map[string]Counts) int {
	worst, most := "", 0
	for endpoint, counts := range byEndpoint {
		faults, _ := c.countFaults(counts)
		if faults > most || faults == most && faults > 0 && endpoint < worst {
			worst, most = endpoint, faults
		}
	}
	faults, _ := c.countFaults(byEndpoint[worst].subtract(previous[worst]))
	return faults
}

// reason says by which criterion a target was found bad. The text is stored and
// returned by the API.
func reason(criterion, route string, faults, trials int, base faultRate) string {
	text := fmt.Sprintf("%s: %d of %d lately, the base's rate is %.3f",
		criterion, faults, trials, base.faults/max(1, base.trials))
	if route != allRoutes {
		text += " (route " + route + ")"
	}
	return text
}
