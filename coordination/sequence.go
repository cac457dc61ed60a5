package coordination

// nextNumber returns the next number of a sequence, which is the global revision of the
// command. Revisions rise with every call, so the numbers are unique and strictly
// increasing, but not contiguous, and a sequence needs no state of its own.
func nextNumber(revision uint64) Result { return Result{Value: revision} }
