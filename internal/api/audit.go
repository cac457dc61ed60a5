package api

import (
	"slices"

	"lichentray/audit"
	"lichentray/internal/apierror"
)

// readAudit returns the failures that match a filter, or all failures if the request has no filter.
func (h *Handler) readAudit(c call) (any, error) {
	var filter audit.Filter
	if len(c.body) > 0 {
		if err := decodeBody(c.body, &filter); err != nil {
			return nil, err
		}
	}
	if err := validateFilter(filter); err != nil {
		return nil, err
	}
	result, err := h.node.ReadAudit(filter)
	if err != nil {
		return nil, err
	}
	return result, nil
}

// validateFilter rejects a filter with an unknown kind, a negative number or an empty time span.
func validateFilter(f audit.Filter) error {
	switch {
	case f.Kind != "" && !slices.Contains(audit.FailureKinds(), f.Kind):
		return apierror.New(apierror.BadRequest, "kind: %q is none of %v", f.Kind, audit.FailureKinds())
	case f.SinceMS < 0:
		return apierror.New(apierror.BadRequest, "since_ms: below 0")
	case f.UntilMS < 0 || f.UntilMS > 0 && f.UntilMS <= f.SinceMS:
		return apierror.New(apierror.BadRequest, "until_ms: not after since_ms")
	case f.Limit < 0:
		return apierror.New(apierror.BadRequest, "most: below 0")
	}
	return nil
}
