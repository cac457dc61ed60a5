package api

import (
	"bytes"
	"encoding/json"
)

// replaceConfiguration stores a complete configuration.
func (h *Handler) replaceConfiguration(c call) (any, error) {
	// The node retains the text, but fasthttp reuses the buffer of the body.
	return nil, h.node.ReplaceConfiguration(bytes.Clone(c.body))
}

// readConfiguration returns the newest configuration.
func (h *Handler) readConfiguration(call) (any, error) {
	text, err := h.node.Configuration()
	if err != nil {
		return nil, err
	}
	return json.RawMessage(text), nil
}
