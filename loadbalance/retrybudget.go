package loadbalance

// RetryBudget is one node's share of a retry budget that applies to all nodes together.
//
// It is a token bucket: a request deposits ratio tokens, an extra attempt (a retry or a
// hedged request) withdraws one token, and the balance never exceeds the node's share of the
// slack. In any time window, the extra attempts of a node are therefore at most ratio times
// its requests plus its share of the slack; over all nodes, at most ratio times all requests
// plus the slack. The bucket starts empty, so that a restart of the node does not grant the
// slack a second time. A RetryBudget is not safe for concurrent use.
//
// The caller decides what counts as an extra attempt. The proxy withdraws a token only if an
// earlier attempt has sent a part of the request. Until then, for example after a failed
// dial, further attempts need no token and are limited in number (forwarding.pick and
// maxUnsentAttempts in internal/proxy).
type RetryBudget struct {
	ratio     float64 // tokens per request
	maxTokens float64
	tokens    float64
}

// NewRetryBudget returns an empty budget. maxTokens is this node's share of the slack.
func NewRetryBudget(ratio, maxTokens float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, maxTokens: maxTokens}
}

// SetMaxTokens changes this node's share of the slack.
func (b *RetryBudget) SetMaxTokens(maxTokens float64) {
	b.maxTokens = maxTokens
	b.tokens = min(b.tokens, maxTokens)
}

// Deposit adds the tokens of one client request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.maxTokens) }

// Balance returns the number of tokens. Each whole token allows one extra attempt.
func (b *RetryBudget) Balance() float64 { return b.tokens }

// TryWithdraw withdraws the token for one extra attempt, and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
