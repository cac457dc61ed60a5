package api

import (
	"lichentray/coordination"
	"lichentray/registry"
)

// numberAnswer is the answer to a call that draws a number from a sequence.
type numberAnswer struct {
	Value uint64 `json:"value"`
}

// nextNumber draws the next number of a sequence.
func (h *Handler) nextNumber(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	result, err := h.node.Propose(registry.Command{Coordination: &coordination.Command{
		Operation: coordination.NextNumber,
		Name:      c.name,
	}})
	if err != nil {
		return nil, err
	}
	return numberAnswer{Value: result.Latch.Value}, nil
}
