package api

import (
	"time"

	"lichentray/internal/apierror"
	"lichentray/rollout"
)

// maxRolloutDeadline bounds the time that an order may give a roll-out.
const maxRolloutDeadline = 7 * 24 * time.Hour

// rolloutRequest is the body of an order to roll out a version.
type rolloutRequest struct {
	Service         string   `json:"backend_service"`
	TargetVersion   string   `json:"target_version"`
	DeadlineSeconds *float64 `json:"deadline_s"`
}

// rolloutAnswer is the state of a roll-out.
type rolloutAnswer struct {
	BaseVersion   string        `json:"base_version"`
	TrafficShare  float64       `json:"share"`
	State         rollout.State `json:"state"`
	TargetVersion string        `json:"target_version"`
	Reason        string        `json:"why,omitempty"`
}

// beginRollout orders the roll-out of a version.
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

// readRollout answers with the state of a service's newest roll-out.
func (h *Handler) readRollout(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	r, err := h.node.Rollout(c.name)
	if err != nil {
		return nil, err
	}
	return rolloutAnswer{
		BaseVersion:   r.Base,
		TrafficShare:  r.TrafficShare(),
		State:         r.State,
		TargetVersion: r.Target,
		Reason:        r.Reason,
	}, nil
}
