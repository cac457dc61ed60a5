package api

import (
	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/registry"
)

// maxCellBytes limits the value of a cell.
const maxCellBytes = 64 << 10

// cellRequest is the body of a call that replaces a cell.
type cellRequest struct {
	Value *string `json:"value"`
	// ExpectedRevision, if set, is the revision that the cell must have for the write to be
	// executed, 0 for a cell that does not exist. The JSON key is part of the public protocol.
	ExpectedRevision *uint64 `json:"enabled"`
}

// revisionResponse is the response to a call that replaces a cell. It holds the new revision, or
// the current one if that differs from the expected revision.
type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

// cellResponse is the response to a call that reads a cell.
type cellResponse struct {
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// replaceCell replaces the value of a cell. If the request has an expected revision, the cell must
// have that revision.
func (h *Handler) replaceCell(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	var r cellRequest
	if err := decodeBody(c.body, &r); err != nil {
		return nil, err
	}
	if r.Value == nil {
		return nil, apierror.New(apierror.BadRequest, "value: missing")
	}
	if len(*r.Value) > maxCellBytes {
		return nil, apierror.New(apierror.BodyTooLarge, "value: over %d bytes", maxCellBytes)
	}
	command := coordination.Command{Operation: coordination.PutCell, Name: c.name, Value: *r.Value}
	if r.ExpectedRevision != nil {
		command.HasExpectedRevision = true
		command.ExpectedRevision = *r.ExpectedRevision
	}
	result, err := h.node.Propose(registry.Command{Coordination: &command})
	if err != nil {
		return nil, err
	}
	response := revisionResponse{Revision: result.Latch.Revision}
	if result.Latch.Code == coordination.RevisionMismatch {
		return response, apierror.New(apierror.RevisionMismatch, "%s", c.name)
	}
	return response, nil
}

// readCell returns the value and the revision of a cell.
func (h *Handler) readCell(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	cell, err := h.node.Cell(c.name)
	if err != nil {
		return nil, err
	}
	return cellResponse{Revision: cell.Revision, Value: cell.Value}, nil
}
