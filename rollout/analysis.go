package rollout

import (
	"fmt"
	"math"
)

// Verdict is the outcome of an analysis.
type Verdict struct {
	Bad     bool   // the target is worse than the base and must be rolled back
	Suspect bool   // the target may be worse, and its share of the traffic must not increase
	Reason  string // human-readable reason if Bad
}

// criterion is a kind of fault by which the versions are compared.
type criterion struct {
	name string
	// A target is accepted if its fault rate exceeds that of the base by less than
	// tolerance, and must be found bad if it exceeds it by tolerance + detectableIncrease.
	tolerance          float64
	detectableIncrease float64
	// countFaults returns the number of faults and the number of trials.
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
// the log-likelihood ratios of the answers under a bad and a tolerable fault rate. The sum
// never falls below 0, so that earlier good answers do not delay the detection of a fault
// that starts late. At alarmThreshold the version is found bad: a false alarm takes about
// e^12 answers at the tolerable rate, a true alarm a few dozen at the bad rate. At
// suspectThreshold or above, the rollout does not advance.
const (
	alarmThreshold   = 12
	suspectThreshold = 4
)

const (
	// baseRateFactor multiplies the fault rate of the base. It is above 1 because bursts,
	// crashes and broken connections affect both versions, but not at the same moment.
	baseRateFactor = 1.5
	// baseRateWindow is the number of the base's newest answers from which its fault rate is
	// computed. The window is not a duration because the base gets no more answers once all
	// traffic has moved.
	baseRateWindow = 2000
	// priorAnswers is the number of good answers that are added to those of the base.
	priorAnswers = 20
	// maxTolerableRate and maxBadRate limit the two rates that the test compares.
	maxTolerableRate = 0.6
	maxBadRate       = 0.95
	// minEndpointsToExclude is the minimum number of target endpoints for which the one with
	// the most faults is excluded: a single endpoint may be unhealthy on its own, whereas a
	// bad version affects all of them.
	minEndpointsToExclude = 3
)

// allRoutes is the key for the analysis of the total over all routes.
const allRoutes = ""

// faultRate is the ratio of faults to trials.
type faultRate struct{ faults, trials float64 }

// routeAnalysis is the state of the analysis of one route.
type routeAnalysis struct {
	previous  RouteCounts              // counts at the previous analysis
	cusum     [len(criteria)]float64   // by criterion
	baseRates [len(criteria)]faultRate // by criterion, over baseRateWindow
}

// Analyzer analyzes the growing evidence of one order. It is not safe for concurrent use.
type Analyzer struct {
	routes map[string]*routeAnalysis
}

// NewAnalyzer returns an analyzer for a new order.
func NewAnalyzer() *Analyzer {
	return &Analyzer{routes: map[string]*routeAnalysis{}}
}

// Analyze returns the verdict on a target with this number of endpoints. e is all evidence
// since the order.
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

// analyzeRoute updates the tests of a route with the counts since the previous analysis, and
// adds their findings to the verdict.
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
			faults -= criterion.worstEndpointFaults(counts.Ill, previous.Ill)
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

// add adds trials to the rate and scales the total down to baseRateWindow trials if it is
// greater.
func (r *faultRate) add(faults, trials int) {
	r.faults += float64(max(0, faults))
	r.trials += float64(max(0, trials))
	if r.trials > baseRateWindow {
		r.faults = r.faults * baseRateWindow / r.trials
		r.trials = baseRateWindow
	}
}

// nextCUSUM returns the cumulative sum after further trials of the target. It adds their
// log-likelihood ratio under the bad and the tolerable rate.
func (c *criterion) nextCUSUM(cusum float64, base faultRate, faults, trials int) float64 {
	tolerable := min(maxTolerableRate, c.tolerance+baseRateFactor*base.faults/(base.trials+priorAnswers))
	bad := min(maxBadRate, tolerable+c.detectableIncrease)
	cusum += float64(faults) * math.Log(bad/tolerable)
	cusum += float64(trials-faults) * math.Log((1-bad)/(1-tolerable))
	return max(0, cusum)
}

// worstEndpointFaults returns the number of new faults of the endpoint that has the most
// faults in total, or 0 if no endpoint has any.
func (c *criterion) worstEndpointFaults(byEndpoint, previous map[string]Counts) int {
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

// reason returns the text that says by which criterion a target was found bad. The text is
// stored and returned by the API.
func reason(criterion, route string, faults, trials int, base faultRate) string {
	text := fmt.Sprintf("%s: %d of %d lately, the base's rate is %.3f",
		criterion, faults, trials, base.faults/max(1, base.trials))
	if route != allRoutes {
		text += " (route " + route + ")"
	}
	return text
}
