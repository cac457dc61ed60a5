package api

import (
	"time"

	"lichentray/internal/apierror"
	"lichentray/rollout"
)

// maxRolloutDeadline is the longest deadline that a request may set for a rollout.
const maxRolloutDeadline = 7 * 24 * time.Hour

// rolloutRequest is the body of a call that starts a rollout.
type rolloutRequest struct {
	Service         string   `json:"backend_service"`
	TargetVersion   string   `json:"target_version"`
	DeadlineSeconds *float64 `json:"deadline_s"`
}

// rolloutResponse is the response to a call that reads the state of a rollout.
type rolloutResponse struct {
	BaseVersion   string        `json:"base_version"`
	TrafficShare  float64       `json:"share"`
	State         rollout.State `json:"state"`
	TargetVersion string        `json:"target_version"`
	Reason        string        `json:"why,omitempty"`
}

// beginRollout starts the rollout of a version.
func (h *Handler) beginRollout(c call) (any, error) {
	var r rolloutRequest
	if err := decodeBody(c.body, &r); err != nil {
		return nil, err
	}
	switch {
	case r.Service == "":
		return nil, apierror.New(apierror.BadRequest, "backend_service: missing")
	case r.TargetVersion == "":
		return nil, apierror.New(apierror.BadRequest, "target_version: missing")
	case r.DeadlineSeconds == nil || *r.DeadlineSeconds <= 0 || *r.DeadlineSeconds > maxRolloutDeadline.Seconds():
		return nil, apierror.New(apierror.BadRequest, "deadline_s: missing, not above 0 or above %g", maxRolloutDeadline.Seconds())
	}
	deadline := time.Duration(*r.DeadlineSeconds * float64(time.Second))
	return nil, h.node.BeginRollout(r.Service, r.TargetVersion, deadline)
}

// readRollout returns the state of the newest rollout of a service.
func (h *Handler) readRollout(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	r, err := h.node.Rollout(c.name)
	if err != nil {
		return nil, err
	}
	return rolloutResponse{
		BaseVersion:   r.Base,
		TrafficShare:  r.TrafficShare(),
		State:         r.State,
		TargetVersion: r.Target,
		Reason:        r.Reason,
	}, nil
}
