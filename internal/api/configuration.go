package api

import (
	"encoding/json"

	"lichentray/internal/apierror"
)

// replaceConfiguration stores a complete configuration.
func (h *Handler) replaceConfiguration(c call) (any, error) {
	conn := GuardedConn(c.ctx)
	reserve := func(bytes int) (release func(), err error) { return reserveForCall(conn, bytes) }
	return nil, h.node.ReplaceConfiguration(c.body, reserve)
}

// readConfiguration returns the newest configuration.
func (h *Handler) readConfiguration(call) (any, error) {
	text, err := h.node.Configuration()
	if err != nil {
		return nil, err
	}
	return json.RawMessage(text), nil
}

// reserveForCall reserves memory for executing a call, in bytes.
func reserveForCall(conn *Conn, bytes int) (release func(), err error) {
	if !conn.EverFits(bytes) {
		return nil, apierror.New(apierror.BodyTooLarge, "takes %d bytes of memory, of at most %d in all", bytes, conn.Limit())
	}
	if err := conn.Reserve(bytes); err != nil {
		return nil, BodyError(conn, err)
	}
	return func() { conn.Release(bytes) }, nil
}
