package balance

import "time"

// Budget is one node's provable share of a retry budget that is kept over
// sliding windows and summed over all nodes.
//
// At every extra arrival it holds that the extra ones of the window that ends
// now are at most ratio x the requests of that same window plus this node's
// part of the slack. Summed over nodes this bounds any window.
type Budget struct {
	ratio  float64
	slack  float64
	width  time.Duration
	slots  [budgetSlots + 1]struct{ requests, extra float64 }
	at     int64
	counts struct{ requests, extra float64 }
}

const budgetSlots = 40

// NewBudget makes a budget for windows of a width. ratio and slack are this
// node's.
func NewBudget(ratio, slack float64, width time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, width: width}
}

// SetSlack changes this node's part of the slack.
func (b *Budget) SetSlack(s float64) { b.slack = s }

func (b *Budget) roll(now time.Duration) {
	at := int64(now) * budgetSlots / int64(b.width)
	if at-b.at > budgetSlots+1 {
		*b = Budget{ratio: b.ratio, slack: b.slack, width: b.width, at: at}
		return
	}
	for b.at < at {
		b.at++
		s := &b.slots[b.at%(budgetSlots+1)]
		b.counts.requests -= s.requests
		b.counts.extra -= s.extra
		s.requests, s.extra = 0, 0
	}
}

// Request counts a request of a client.
func (b *Budget) Request(now time.Duration) {
	b.roll(now)
	b.slots[b.at%(budgetSlots+1)].requests++
	b.counts.requests++
}

// Left is how many extra arrivals may still be made now.
func (b *Budget) Left(now time.Duration) float64 {
	b.roll(now)
	// The oldest slot may lie partly outside the window: its requests do not
	// count, its extra arrivals do.
	old := b.slots[(b.at+1)%(budgetSlots+1)].requests
	return b.ratio*(b.counts.requests-old) + b.slack - b.counts.extra
}

// Spend takes one extra arrival if the budget allows it.
func (b *Budget) Spend(now time.Duration) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.slots[b.at%(budgetSlots+1)].extra++
	b.counts.extra++
	return true
}
