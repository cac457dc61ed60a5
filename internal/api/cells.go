package api

import (
	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/registry"
)

// maxCellBytes bounds the value of a cell.
const maxCellBytes = 64 << 10

// cellRequest is the body of a call that replaces a cell.
type cellRequest struct {
	Value *string `json:"value"`
	// ExpectedRevision, if it is given, is the revision that the cell must have, 0 for a cell
	// that does not exist. Its key is that of the public protocol.
	ExpectedRevision *uint64 `json:"enabled"`
}

// revisionAnswer is the answer to a call that replaces a cell: the new revision, or the present
// one if it is not the expected one.
type revisionAnswer struct {
	Revision uint64 `json:"revision"`
}

// cellAnswer is the answer to a call that reads a cell.
type cellAnswer struct {
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// replaceCell replaces the value of a cell, on the condition that it has the expected revision if
// one is given.
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
	answer := revisionAnswer{Revision: result.Latch.Revision}
	if result.Latch.Code == coordination.RevisionMismatch {
		return answer, apierror.New(apierror.RevisionMismatch, "%s", c.name)
	}
	return answer, nil
}

// readCell answers with a cell.
func (h *Handler) readCell(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	cell, err := h.node.Cell(c.name)
	if err != nil {
		return nil, err
	}
	return cellAnswer{Revision: cell.Revision, Value: cell.Value}, nil
}
