package controlplane

import (
	"time"

	"lichentray/config"
	"lichentray/internal/apierror"
	"lichentray/registry"
)

// ReserveFunc reserves memory, in bytes, until release is called. Its errors are of type
// *apierror.Error.
type ReserveFunc = func(bytes int) (release func(), err error)

// configurationStore replaces and returns the deployment's configuration.
type configurationStore struct {
	*environment
	state    *sharedState
	proposer *proposer
	// validationSlot is a semaphore with one slot, held while a configuration is validated.
	validationSlot chan struct{}
}

// replace stores a complete configuration, see Node.ReplaceConfiguration.
func (s *configurationStore) replace(text []byte, reserve ReserveFunc) error {
	parsed, err := s.validate(text, reserve)
	if err != nil {
		return err
	}
	wrote, err := s.proposer.transact(func(r *replicatedState) (*registry.Txn, error) {
		// The local state may lag behind, but all of it is committed: content that was accepted
		// for a version remains accepted. The transaction that accepts different content compares
		// revisions, so it conflicts if the local state is not the newest.
		txn, err := r.store.BuildConfigTxn(parsed.Version, text)
		if err != nil {
			return nil, apierror.New(apierror.Conflict, "%v", err)
		}
		return txn, nil
	})
	if apierror.KindOf(err) == apierror.Conflict {
		s.metrics.configConflicts.Inc()
	}
	if wrote {
		s.logger.Info("configuration acknowledged", "version", parsed.Version)
	}
	return err
}

// validate parses and validates one configuration at a time: a configuration of 2000 routes takes
// about ten megabytes, and under a burst of submissions the next one arrives before the first is
// done. A caller that has waited for RequestTimeout is rejected so that it can try another node.
func (s *configurationStore) validate(text []byte, reserve ReserveFunc) (*config.Configuration, error) {
	timer := time.NewTimer(s.timing.RequestTimeout)
	defer timer.Stop()
	select {
	case s.validationSlot <- struct{}{}:
		defer func() { <-s.validationSlot }()
	case <-timer.C:
		s.metrics.configsDeferred.Inc()
		return nil, apierror.New(apierror.Unavailable, "too many configurations at once")
	}
	size, err := config.DecodeBytes(text)
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "%v", err)
	}
	if reserve != nil {
		release, err := reserve(size)
		if err != nil {
			return nil, err
		}
		defer release()
	}
	parsed, err := config.Parse(text)
	if err != nil {
		return nil, apierror.New(apierror.InvalidConfiguration, "%v", err)
	}
	return parsed, nil
}

// read returns the newest configuration, see Node.Configuration.
func (s *configurationStore) read() (text []byte, err error) {
	if err := s.proposer.readIndex(s.timing.RequestTimeout); err != nil {
		return nil, err
	}
	var isKnown bool
	s.state.view(func(r *replicatedState) { _, text, isKnown = r.configuration() })
	if !isKnown {
		return nil, apierror.New(apierror.NotFound, "no configuration yet")
	}
	return text, nil
}
