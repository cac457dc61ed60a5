package api

import (
	"time"

	"lichentray/coordination"
)

// watchEvent is one write to a cell.
type watchEvent struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// watchResponse is the response to a long poll: all writes to the group up to a revision. The
// caller passes that revision to its next poll.
type watchResponse struct {
	Events   []watchEvent `json:"events"`
	Revision uint64       `json:"revision"`
}

// watchGroup is a long poll for writes to the cells of a group. It waits for as long as the caller
// requests, but at most for maxWait.
func (h *Handler) watchGroup(c call) (any, error) {
	query := c.ctx.QueryArgs()
	after, err := queryNumber(query, "after")
	if err != nil {
		return nil, err
	}
	waitMS, err := queryNumber(query, "wait_ms")
	if err != nil {
		return nil, err
	}
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, h.maxWait)
	conn := GuardedConn(c.ctx)
	conn.BeginWaiting()
	events, revision, err := h.node.Watch(coordination.GroupOf(c.name), after, wait, NewCallerCheck(c.ctx))
	conn.BeginProcessing()
	if err != nil {
		return nil, err
	}
	response := watchResponse{Events: make([]watchEvent, len(events)), Revision: revision}
	for i, e := range events {
		response.Events[i] = watchEvent{Name: e.Name, Value: e.Value, Revision: e.Revision}
	}
	return response, nil
}
