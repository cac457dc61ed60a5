package loadbalance

// RetryBudget is one node's share of a retry budget that is summed over all nodes.
//
// It is a token bucket: a request brings ratio tokens, an extra arrival takes
// one, and no more than the node's part of the slack is held. So in every
// window, however it lies, a node's extra arrivals are at most ratio x its
// requests + its part; summed over nodes, ratio x all requests + the slack. A
// node starts with nothing in hand, so that a restart brings nothing twice.
type RetryBudget struct {
	ratio     float64
	maxTokens float64
	tokens    float64
}

// NewRetryBudget makes an empty bucket. part is this node's share of the slack.
func NewRetryBudget(ratio, part float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, maxTokens: part}
}

// SetMaxTokens changes this node's share of the slack.
func (b *RetryBudget) SetMaxTokens(part float64) {
	b.maxTokens = part
	b.tokens = min(b.tokens, part)
}

// Deposit counts a request of a client.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.maxTokens) }

// Balance is how many extra arrivals may be made now.
func (b *RetryBudget) Balance() float64 { return b.tokens }

// TryWithdraw takes one extra arrival if the budget allows it.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
