package api

import (
	"lichentray/internal/apierror"
	"lichentray/registry"
)

// The states that an instance may report in a heartbeat.
const (
	instanceReady    = "ready"
	instanceDraining = "draining"
)

// heartbeatRequest is the body of a heartbeat.
type heartbeatRequest struct {
	Address string `json:"address"`
	Info    struct {
		Service  string  `json:"backend_service"`
		Version  string  `json:"config_version"`
		Zone     string  `json:"zone"`
		Capacity float64 `json:"capacity"`
	} `json:"info"`
	Status struct {
		State         string  `json:"state"`
		Sequence      float64 `json:"sequence"`
		WarmUpSeconds float64 `json:"cold_remaining_s"`
	} `json:"status"`
}

// heartbeatInstance registers an endpoint, or renews its registration.
func (h *Handler) heartbeatInstance(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	var r heartbeatRequest
	if err := decodeBody(c.body, &r); err != nil {
		return nil, err
	}
	isKnownState := r.Status.State == instanceReady || r.Status.State == instanceDraining
	if r.Address == "" || r.Info.Service == "" || !isKnownState {
		return nil, apierror.New(apierror.BadRequest, "address, info.backend_service or status.state is missing or wrong")
	}
	return nil, h.node.Heartbeat(registry.Endpoint{
		ID:            c.name,
		Service:       r.Info.Service,
		Version:       r.Info.Version,
		Address:       r.Address,
		Zone:          r.Info.Zone,
		Capacity:      int(r.Info.Capacity),
		Draining:      r.Status.State == instanceDraining,
		Sequence:      uint64(max(0, r.Status.Sequence)),
		WarmUpSeconds: r.Status.WarmUpSeconds,
	})
}

// deregisterInstance removes an endpoint permanently.
func (h *Handler) deregisterInstance(c call) (any, error) {
	if err := requireName(c.name); err != nil {
		return nil, err
	}
	return nil, h.node.Deregister(c.name)
}
