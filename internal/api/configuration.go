package api

import (
	"bytes"
	"encoding/json"
)

// replaceConfiguration stores a complete configuration.
func (h *Handler) replaceConfiguration(c call) (any, error) {
	// The node keeps the text, and the memory of the body is used again.
	return nil, h.node.ReplaceConfiguration(bytes.Clone(c.body))
}

// readConfiguration answers with the newest configuration.
func (h *Handler) readConfiguration(call) (any, error) {
	text, err := h.node.Configuration()
	if err != nil {
		return nil, err
	}
	return json.RawMessage(text), nil
}
