package api

// evacuationsAnswer holds the states of the zones that are not in ordinary use.
type evacuationsAnswer struct {
	Zones map[string]string `json:"zones"`
}

// beginEvacuation evacuates a zone.
func (h *Handler) beginEvacuation(c call) (any, error) { return nil, h.evacuateZone(c, true) }

// finishEvacuation takes a zone back into use.
func (h *Handler) finishEvacuation(c call) (any, error) { return nil, h.evacuateZone(c, false) }

// evacuateZone begins or finishes the evacuation of a zone. These orders carry no number that
// would show that one was delayed, as in the socket of a process that was stopped for a while. A
// delayed order is recognised by its caller, who has closed the connection and gone on to another
// node.
func (h *Handler) evacuateZone(c call, begin bool) error {
	if err := requireName(c.name); err != nil {
		return err
	}
	return h.node.Evacuate(c.name, begin, NewCallerCheck(c.ctx))
}

// listEvacuations answers with the states of the zones that are not in ordinary use.
func (h *Handler) listEvacuations(call) (any, error) {
	zones, err := h.node.Evacuations()
	if err != nil {
		return nil, err
	}
	return evacuationsAnswer{Zones: zones}, nil
}
