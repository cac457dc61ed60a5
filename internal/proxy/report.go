package proxy

import (
	"time"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// zoneLoadKey returns the key of a service's load in one zone within a report.
func zoneLoadKey(service, zone string) string { return service + "\x00" + zone }

// buildReport returns a report to the control plane: this node's load on each service, also by zone
// if there are several regions; its observations of endpoints and rollouts; and the audit records
// that are due. span is the time since the last report.
func (p *Proxy) buildReport(span time.Duration) *transport.ProxyReport {
	loads := map[string]loadbalance.Load{}
	observations := map[string]loadbalance.Observation{}
	for _, s := range p.services {
		p.collectLoads(s, span, loads, observations)
	}
	return &transport.ProxyReport{
		Seq:     p.nextReportSeq(),
		Loads:   loads,
		Seen:    observations,
		Self:    p.registration(),
		Trials:  p.rolloutReports(),
		Account: p.audit.reportBatch(),
	}
}

// collectLoads adds a service's loads and endpoint observations to those of a report.
func (p *Proxy) collectLoads(s *service, span time.Duration, loads map[string]loadbalance.Load, observations map[string]loadbalance.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.CollectObservations(observations)
	_, inflight := s.pool.SlotsAndInflight(p.now())
	if span > p.timeouts.minRateSpan {
		s.admission.Observe(loadbalance.Load{
			Rate:     float64(s.arrivals) / span.Seconds(),
			Inflight: float64(inflight),
		})
		s.arrivals = 0
		clear(s.arrivalsByClient)
	}
	loads[s.name] = s.admission.OwnLoad()
	if !p.hasRegions() {
		return
	}
	for _, e := range s.pool.Endpoints() {
		if n := e.Inflight(); n > 0 {
			key := zoneLoadKey(s.name, e.Zone)
			loads[key] = loads[key].Add(loadbalance.Load{Inflight: float64(n)})
		}
	}
}

// hasRegions reports whether there is more than one region.
func (p *Proxy) hasRegions() bool { return len(p.regionIndex) > 1 }

// nextReportSeq returns the sequence number of a report that is about to be sent, and forgets the
// reports whose quota grants would have expired.
func (p *Proxy) nextReportSeq() uint64 {
	p.reportSeq++
	now := p.now()
	p.reportSentAt[p.reportSeq] = now
	for seq, at := range p.reportSentAt {
		if now-at > p.timeouts.quotaGrantLifetime {
			delete(p.reportSentAt, seq)
		}
	}
	return p.reportSeq
}

// registration returns this node's entry in the directory. It is nil if clients do not find proxies
// by the directory, or if this node is not ready for another reason than draining.
func (p *Proxy) registration() *registry.Proxy {
	if p.settings.EntryType != settings.EntryTypeDirectory {
		return nil
	}
	if !p.Ready() && !p.isDraining.Load() {
		return nil
	}
	return &registry.Proxy{
		Name:    p.settings.NodeName,
		Address: p.settings.Listen.Frontend,
		Zone:    p.settings.Zone,
		Leaving: p.isDraining.Load(),
		Weight:  p.settings.Limits.BandwidthMbps,
	}
}

// announceShutdown makes this node not ready. If clients find proxies by the directory, it reports
// immediately that this node is leaving.
func (p *Proxy) announceShutdown() {
	p.isDraining.Store(true)
	conn, self := p.controlConn.Load(), p.registration()
	if conn == nil || self == nil {
		return
	}
	report := &transport.ProxyReport{Self: self}
	_ = conn.Send(&transport.Frame{Report: report}) // if it fails, the next report repeats it
}

// applyGrants applies this node's quota grants for endpoints that are warming up. Their validity
// starts when the report was sent that they respond to.
func (p *Proxy) applyGrants(r *transport.QuotaGrants) {
	sentAt, ok := p.reportSentAt[r.Seq]
	if !ok {
		return
	}
	now := p.now()
	for _, g := range r.Grants {
		for _, s := range p.services {
			s.mu.Lock()
			s.pool.ApplyGrant(now, g, sentAt+p.timeouts.quotaGrantLifetime)
			s.mu.Unlock()
		}
	}
}

// applyVerdicts applies the verdicts on endpoints that the control plane derives from the reports
// of all proxies.
func (p *Proxy) applyVerdicts(verdicts []loadbalance.Verdict) {
	byEndpoint := make(map[string]loadbalance.Verdict, len(verdicts))
	for _, v := range verdicts {
		byEndpoint[v.Endpoint] = v
	}
	until := p.now() + p.timeouts.feedbackValidity
	for _, s := range p.services {
		s.mu.Lock()
		s.pool.SetVerdicts(until, byEndpoint)
		s.mu.Unlock()
	}
}

// applyLoads applies the total loads that all proxies reported.
func (p *Proxy) applyLoads(loads map[string]loadbalance.Load) {
	now := p.now()
	for name, total := range loads {
		if s := p.services[name]; s != nil {
			s.setTotalLoad(now, total)
		}
	}
	if !p.hasRegions() {
		return
	}
	for name, s := range p.services {
		inflight := map[string]float64{}
		for zone := range p.settings.RegionByZone {
			inflight[zone] = loads[zoneLoadKey(name, zone)].Inflight
		}
		s.mu.Lock()
		s.pool.SetZoneLoads(inflight)
		s.mu.Unlock()
	}
}
