package loadbalance

// RetryBudget is one node's share of a retry budget that limits all nodes
// together.
//
// It is a token bucket: a request deposits ratio tokens, an extra attempt (a retry or
// a hedged request) withdraws one, and the balance never exceeds the node's part of
// the slack. So in every window, wherever it begins, the extra attempts of a node are
// at most ratio times its requests plus its part; summed over the nodes, ratio times
// all requests plus the slack. The bucket starts empty, so that a restart of the node
// grants nothing twice. It is not safe for concurrent use.
type RetryBudget struct {
	ratio     float64 // tokens per request
	maxTokens float64
	tokens    float64
}

// NewRetryBudget returns an empty budget. maxTokens is this node's part of the slack.
func NewRetryBudget(ratio, maxTokens float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, maxTokens: maxTokens}
}

// SetMaxTokens changes this node's part of the slack.
func (b *RetryBudget) SetMaxTokens(maxTokens float64) {
	b.maxTokens = maxTokens
	b.tokens = min(b.tokens, maxTokens)
}

// Deposit adds the tokens of one request of a client.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.maxTokens) }

// Balance returns how many extra attempts may be made now.
func (b *RetryBudget) Balance() float64 { return b.tokens }

// TryWithdraw takes the token of one extra attempt, and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
