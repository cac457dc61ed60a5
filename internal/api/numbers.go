package api

import (
	"lichentray/coordination"
	"lichentray/registry"
)

// numberResponse is the response to a call that takes the next number of a sequence.
type numberResponse struct {
	Value uint64 `json:"value"`
}

// nextNumber returns the next number of a sequence.
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
	return numberResponse{Value: result.Latch.Value}, nil
}
