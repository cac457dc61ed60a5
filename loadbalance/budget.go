package loadbalance

// Budget is one node's share of a retry budget that is summed over all nodes.
//
// It is a token bucket: a request brings ratio tokens, an extra arrival takes
// one, and no more than the node's part of the slack is held. So in every
// window, however it lies, a node's extra arrivals are at most ratio x its
// requests + its part; summed over nodes, ratio x all requests + the slack. A
// node starts with nothing in hand, so that a restart brings nothing twice.
type Budget struct {
	ratio float64
	part  float64
	held  float64
}

// NewBudget makes an empty bucket. part is this node's share of the slack.
func NewBudget(ratio, part float64) *Budget { return &Budget{ratio: ratio, part: part} }

// SetPart changes this node's share of the slack.
func (b *Budget) SetPart(part float64) {
	b.part = part
	b.held = min(b.held, part)
}

// Request counts a request of a client.
func (b *Budget) Request() { b.held = min(b.held+b.ratio, b.part) }

// Left is how many extra arrivals may be made now.
func (b *Budget) Left() float64 { return b.held }

// Spend takes one extra arrival if the budget allows it.
func (b *Budget) Spend() bool {
	if b.held < 1 {
		return false
	}
	b.held--
	return true
}
