package registry

// Compare is a precondition of a transaction: it holds if the object under Key has this
// ModRevision or, for 0, if there is no object under Key.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Write puts or deletes the object under Key. A put replaces the complete value. Deleting
// an object that does not exist changes nothing and creates no event.
type Write struct {
	Key string
	// Value is the new value or, if IsDelta is set, the delta (see ComputeDelta) against
	// the object's current value. A transaction with a delta must compare the revision
	// from which the delta was computed.
	Value    []byte
	IsDelete bool
	IsDelta  bool
}

// Txn is a transaction: if all comparisons in If hold, all writes in Then are performed at
// one revision; otherwise none is.
type Txn struct {
	If   []Compare
	Then []Write
}

func (s *Store) applyTxn(txn *Txn) (Result, []Event) {
	conflicting, ok := s.compare(txn.If)
	if !ok {
		return Result{Revision: s.revision, Conflict: true, Current: conflicting}, nil
	}
	values, err := s.resolveDeltas(txn.Then)
	if err != nil {
		return Result{Revision: s.revision, Conflict: true}, nil
	}
	s.revision++
	events := make([]Event, 0, len(txn.Then))
	for _, w := range txn.Then {
		if w.IsDelete {
			if _, exists := s.objects[w.Key]; exists {
				events = append(events, s.deleteObject(w.Key))
			}
			continue
		}
		events = append(events, s.putObject(w, values))
	}
	return Result{Revision: s.revision}, events
}

// compare reports whether all comparisons hold. If not, it returns the existing objects
// whose revision differs, without their values.
func (s *Store) compare(comparisons []Compare) (conflicting []Object, ok bool) {
	ok = true
	for _, c := range comparisons {
		o := s.objects[c.Key]
		if o.ModRevision == c.ModRevision {
			continue
		}
		ok = false
		if o.ModRevision != 0 {
			o.Value = nil
			conflicting = append(conflicting, o)
		}
	}
	return conflicting, ok
}

// resolveDeltas returns the complete values of the writes that carry a delta, by key. It
// runs before the first write because a delta that does not match must abort the whole
// transaction.
func (s *Store) resolveDeltas(writes []Write) (map[string][]byte, error) {
	var values map[string][]byte
	for _, w := range writes {
		if !w.IsDelta {
			continue
		}
		value, err := ApplyDelta(s.objects[w.Key].Value, w.Value)
		if err != nil {
			return nil, err
		}
		if values == nil {
			values = map[string][]byte{}
		}
		values[w.Key] = value
	}
	return values, nil
}

// deleteObject removes an existing object at the store's revision.
func (s *Store) deleteObject(key string) Event {
	delete(s.objects, key)
	return Event{
		Type:     Deleted,
		Object:   Object{Key: key, ModRevision: s.revision},
		Revision: s.revision,
	}
}

// putObject writes an object at the store's revision. values holds the complete values of
// the writes that carry a delta.
func (s *Store) putObject(w Write, values map[string][]byte) Event {
	old, exists := s.objects[w.Key]
	event := Event{
		Type: Modified,
		Object: Object{
			Key:            w.Key,
			Value:          w.Value,
			CreateRevision: old.CreateRevision,
			ModRevision:    s.revision,
		},
		Revision: s.revision,
	}
	if !exists {
		event.Type = Added
		event.Object.CreateRevision = s.revision
	}
	if w.IsDelta {
		event.Object.Value = values[w.Key]
		event.Patch = w.Value
		event.Base = old.ModRevision
	}
	s.objects[w.Key] = event.Object
	return event
}
