package api

// evacuationsResponse holds the states, by zone, of the zones that are not in normal use.
type evacuationsResponse struct {
	Zones map[string]string `json:"zones"`
}

// beginEvacuation starts the evacuation of a zone.
func (h *Handler) beginEvacuation(c call) (any, error) { return nil, h.evacuateZone(c, true) }

// finishEvacuation returns a zone to normal use.
func (h *Handler) finishEvacuation(c call) (any, error) { return nil, h.evacuateZone(c, false) }

// evacuateZone begins or finishes the evacuation of a zone. A request carries no
// sequence number that would identify a delayed one, for example one that remained unread in the
// socket of a suspended process. Instead, a request counts as delayed if its caller has closed the
// connection, because such a caller has moved on to another node.
func (h *Handler) evacuateZone(c call, begin bool) error {
	if err := requireName(c.name); err != nil {
		return err
	}
	return h.node.Evacuate(c.name, begin, NewCallerCheck(c.ctx))
}

// listEvacuations returns the states of the zones that are not in normal use.
func (h *Handler) listEvacuations(call) (any, error) {
	zones, err := h.node.Evacuations()
	if err != nil {
		return nil, err
	}
	return evacuationsResponse{Zones: zones}, nil
}
