// Package settings reads and validates the settings file of a process.
//
// The file format is TOML. The file is validated against the embedded JSON schema
// settings.schema.json. Unknown keys are ignored, so that a newer deployment tool can start an
// older program. The names and the meaning of the keys are a public interface.
//
// The package keeps no state, watches no file and starts no goroutine. The programs reload the
// file when it has changed (package daemon) and decide which settings take effect without a
// restart. Timeouts that several packages share are derived in timeouts.go; timeouts of a single
// package are derived in that package.
package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Seconds is a duration in seconds, possibly fractional, as in the settings file.
type Seconds float64

// Duration converts the value to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Limits holds the resource limits of a process. A value of 0 means that the file does not set
// the limit; MemoryMB and MaxOpenFiles are required.
type Limits struct {
	// CPUShare is the fraction of the machine's processors that the process may use.
	CPUShare float64 `toml:"cpu_share"`
	// CPUCores is the number of processors that the process sees.
	CPUCores float64 `toml:"cpu_cores"`
	// MemoryMB is the maximum resident memory in MiB.
	MemoryMB float64 `toml:"memory_mb"`
	// MaxOpenFiles is the maximum number of open file descriptors.
	MaxOpenFiles int `toml:"max_open_files"`
	// BandwidthMbps is the bandwidth of the machine's link in Mbit/s.
	BandwidthMbps float64 `toml:"bandwidth_mbps"`
	// DiskMB is the maximum size of the stored data in MiB.
	DiskMB float64 `toml:"disk_mb"`
}

// MemoryBytes returns the maximum resident memory in bytes.
func (l *Limits) MemoryBytes() int64 { return int64(l.MemoryMB * (1 << 20)) }

// Bounds holds the parameters of the guarantees that a deployment must meet. Timeouts are derived
// from them. Some are not used by any program; they are decoded so that all settings are
// validated.
type Bounds struct {
	// SeedReloadInterval is the maximum age of the list of seed nodes in the file. The file is
	// reloaded at this interval.
	SeedReloadInterval Seconds `toml:"seed_lag_s"`
	// AddressReuseDelay is how long the address of a terminated endpoint is not reused for another
	// one.
	AddressReuseDelay Seconds `toml:"address_reuse_s"`
	// ContactWindow is how long a machine must have been connected without disturbance for the
	// time bounds to apply to it. Most timeouts between machines are fractions of it.
	ContactWindow Seconds `toml:"contact_s"`
	// AckTimeout is the maximum time until an order is acknowledged while the control plane is
	// undisturbed. A node gives each attempt at a call a part of it.
	AckTimeout Seconds `toml:"ack_timeout_s"`
	// CatchUpTime is how long a machine still counts as lost after it has returned.
	CatchUpTime Seconds `toml:"catch_up_s"`
	// DrainPropagation is how long requests may still reach a draining endpoint after the
	// draining was acknowledged.
	DrainPropagation Seconds `toml:"drain_s"`
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod Seconds `toml:"grace_period_s"`
	// LossSlack is the delay within which a request that was read may be cut off around planned
	// work.
	LossSlack Seconds `toml:"loss_slack_s"`
	// ConfigPropagation is how long requests may still be handled with an older configuration
	// after a newer one was acknowledged.
	ConfigPropagation Seconds `toml:"config_apply_s"`
	// RollbackSlack is how long a machine may revert to an older configuration after a newer one
	// had an effect.
	RollbackSlack Seconds `toml:"rollback_slack_s"`
	// ConfigPropagationExtension is the maximum by which a disturbed control plane may extend
	// ConfigPropagation.
	ConfigPropagationExtension Seconds `toml:"max_stretch_s"`
	// RetryBudgetRatio is the maximum number of retries per request of a service.
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"`
	// RetryBudgetWindow is the time window in which retries are counted.
	RetryBudgetWindow Seconds `toml:"budget_window_s"`
	// RetryBudgetSlack is the number of retries that a service may get in a window in addition
	// to those that RetryBudgetRatio allows.
	RetryBudgetSlack float64 `toml:"retry_budget_slack"`
	// RecoveryTime is how long requests may remain unserved after lost machines have returned.
	RecoveryTime Seconds `toml:"recovery_s"`
	// HistoryRetention is how long the events of a watch are kept; one minute by default.
	HistoryRetention Seconds `toml:"history_retention_s"`
	// LockReleaseDelay is the maximum time from the end of a lock's lease until the lock can be
	// granted to another holder.
	LockReleaseDelay Seconds `toml:"release_s"`
	// SlowStartOvershoot is the maximum request rate of an endpoint in slow start, as a multiple
	// of the rate that it can serve. 0 means that slow start is not coordinated between proxies.
	SlowStartOvershoot float64 `toml:"cold_overshoot"`
	// SlowStartSlack is the number of requests per second that such an endpoint may get in
	// addition.
	SlowStartSlack float64 `toml:"cold_slack"`
	// ZoneEvacuation is the maximum duration of the evacuation of a zone.
	ZoneEvacuation Seconds `toml:"evacuation_s"`
	// MaxTTL is the maximum time for which clients use an answer of the directory; ContactWindow
	// by default.
	MaxTTL Seconds `toml:"ttl_max_s"`
	// ExposureRatio is the maximum fraction of requests that a faulty target version may get
	// until the deadline of its rollout.
	ExposureRatio float64 `toml:"exposure_ratio"`
	// ExposureSlack is the number of requests that such a version may get in addition.
	ExposureSlack float64 `toml:"exposure_slack"`
	// RolloutRollback is the time within which a rollout that shows a fault must be rolled back.
	RolloutRollback Seconds `toml:"rollback_s"`
}

// Audit configures the audit log of failed requests.
type Audit struct {
	// TenantByHost maps hosts to tenants.
	TenantByHost map[string]string `toml:"hosts"`
	// TenantHeader is the request header that names the tenant if TenantByHost does not.
	TenantHeader string `toml:"tenant_header"`
	// UnknownTenant is the tenant recorded for all other requests; DefaultUnknownTenant by
	// default.
	UnknownTenant string `toml:"unknown_tenant"`
	// RequestHeader is the request header that identifies the attempts of a client that belong
	// to the same request. If it is empty, every attempt counts as a separate request.
	RequestHeader string `toml:"request_header"`
	// MaxPendingRecords is the maximum number of uncommitted records that a proxy holds;
	// DefaultMaxPendingRecords by default.
	MaxPendingRecords int `toml:"most_held"`
	// MaxRecords is the maximum number of records in the audit log; DefaultMaxRecords by default.
	MaxRecords int `toml:"most_entries"`
}

// ListenAddresses holds the addresses (IP:port) on which a process listens. Addresses that its
// role does not serve are empty.
type ListenAddresses struct {
	// Frontend is the address on which a proxy accepts client requests.
	Frontend string `toml:"frontend"`
	// Readiness is the address of a proxy's readiness check.
	Readiness string `toml:"readiness"`
	// Control is the address of a control-plane node's HTTP API.
	Control string `toml:"control_plane"`
	// Directory is the address on which a control-plane node tells clients which proxies to
	// connect to.
	Directory string `toml:"directory"`
}

// FaultTolerance is the number of machines, zones or regions of the control plane's core that may
// be lost at the same time without violating the guarantees.
type FaultTolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// EntryTypeDirectory is the Settings.EntryType of a deployment in which clients ask a directory
// which proxy to connect to.
const EntryTypeDirectory = "directory"

// guaranteeRollout is the guarantee that requires requests to be routed by endpoint version.
const guaranteeRollout = "rollout"

// Settings holds the settings of one process.
type Settings struct {
	NodeName string `toml:"node_name"`
	// Role is the name of the process's role in the deployment. No program depends on it.
	Role string `toml:"role"`
	// Serves lists the services that the process's machine provides; see the constants
	// servesControl, servesEdge and servesDirectory.
	Serves []string `toml:"serves"`
	// EntryType defines how clients find a proxy; see EntryTypeDirectory.
	EntryType string `toml:"entry_type"`
	IPAddress string `toml:"ip_address"`
	// BindIP is the IP address on which a control-plane node listens if it differs from the
	// address at which other machines reach the node, that is, behind a port forwarder. It is
	// empty otherwise.
	BindIP string `toml:"bind_ip"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// PortRange holds the first and the last port available for internal use.
	PortRange []int `toml:"internal_port_range"`
	// SeedNodes are the API addresses (IP:port) of some control-plane nodes. They may be out of
	// date.
	SeedNodes []string `toml:"seed_nodes"`
	// Bootstrap is true on the first start of a deployment, when all disks are empty.
	Bootstrap bool `toml:"bootstrap"`
	// QuorumMember is true if the machine counts towards FaultTolerance.
	QuorumMember bool `toml:"quorum_member"`
	// DataDirectory is the directory for durable state. It is empty on a machine without a disk.
	DataDirectory string `toml:"data_directory"`
	// HeartbeatInterval is the interval at which endpoints send heartbeats.
	HeartbeatInterval Seconds `toml:"heartbeat_interval_s"`
	// RegionByZone maps every zone of the deployment to its region.
	RegionByZone   map[string]string `toml:"zones"`
	Listen         ListenAddresses   `toml:"listen_addresses"`
	Limits         Limits            `toml:"limits"`
	FaultTolerance FaultTolerance    `toml:"fault_tolerance"`
	Bounds         Bounds            `toml:"bounds"`
	// Audit is nil in a deployment that keeps no audit log.
	Audit *Audit `toml:"account"`
	// Guarantees lists the names of the guarantees in force.
	Guarantees []string `toml:"guarantees"`
}

// HasRollouts reports whether requests are routed by endpoint version: to the base version, and to
// another version only during its rollout.
func (s *Settings) HasRollouts() bool { return slices.Contains(s.Guarantees, guaranteeRollout) }

// BindAddr returns the address (IP:port) on which to listen, given the address at which others
// reach the node. The two differ if BindIP is set.
func (s *Settings) BindAddr(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || s.BindIP == "" {
		return address
	}
	return net.JoinHostPort(s.BindIP, port)
}

// InternalAddr returns the internal address (IP:port) of a control-plane node, given any address of
// its machine with or without a port. All machines use the same internal ports.
func (s *Settings) InternalAddr(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return net.JoinHostPort(host, strconv.Itoa(s.PortRange[0]))
}
