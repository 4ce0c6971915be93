package operatorconfig

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"tealpath/internal/cluster/membership"
	"tealpath/internal/operatorconfig/sexpr"
)

const (
	minRenewalsPerLease     = 3 // minimum lease duration, in renewal intervals
	minHeartbeatsPerSilence = 2 // minimum silence timeout, in heartbeat intervals
)

// checkCluster checks the lists of (fleet …) against each other, and sets the fields of the cluster that depend on
// more than one list.
func (d *decoder) checkCluster(lists *clusterLists) {
	lists.setInstances()
	d.checkAddresses(lists)
	d.checkVoterNames(lists)
	d.checkDurations(lists)
	d.checkVoters(lists)
	d.checkProbe(lists)
	d.checkKeys(lists)
}

// setInstances sets the instances of the cluster, and the weight and the listen address of this instance. (listen …)
// takes precedence over the address in (instances …).
func (l *clusterLists) setInstances() {
	settings := l.cluster
	for _, instance := range l.instances {
		settings.Instances = append(settings.Instances, membership.Contact{
			Name:    instance.name,
			Address: instance.address.String(),
			Weight:  instance.weight,
		})
		if instance.name == settings.Name {
			settings.Weight = instance.weight
			settings.Listen = instance.address.String()
		}
	}
	if l.listen.IsValid() {
		settings.Listen = l.listen.String()
	}
}

// checkAddresses checks that (allow …) contains the addresses of all instances, and that this instance has a listen
// address.
func (d *decoder) checkAddresses(lists *clusterLists) {
	settings := lists.cluster
	isForbidden := func(address netip.AddrPort) bool {
		return address.IsValid() && !settings.Allow.Contains(address.Addr())
	}
	for _, instance := range lists.instances {
		if isForbidden(instance.address) {
			d.errors.addf(instance.position, "(allow …) does not contain the address %s of instance %s",
				instance.address, instance.name)
		}
	}
	if isForbidden(lists.listen) {
		d.errors.addf(lists.positions.listen, "(allow …) does not contain the listen address %s", lists.listen)
	}
	if settings.Name != "" && settings.Listen == "" {
		d.errors.addf(lists.positions.cluster,
			"this instance, %s, is not in (instances …), so (listen ADDRESS) is required", settings.Name)
	}
}

// checkVoterNames checks that each voter is in (instances …).
func (d *decoder) checkVoterNames(lists *clusterLists) {
	isInstance := map[string]bool{}
	for _, instance := range lists.instances {
		isInstance[instance.name] = true
	}
	voters := slices.Concat(lists.cluster.Voters.Current, lists.cluster.Voters.Previous)
	for _, voter := range voters {
		if !isInstance[voter] {
			d.errors.addf(lists.positions.voters, "voter %s is not in (instances …)", voter)
		}
	}
}

// checkDurations checks that a single lost message neither ends a lease nor is reported as silence.
func (d *decoder) checkDurations(lists *clusterLists) {
	settings, positions := lists.cluster, lists.positions
	if settings.LeaseDuration < minRenewalsPerLease*settings.RenewalInterval {
		position := cmp.Or(positions.lease, positions.renewal, positions.cluster)
		d.errors.addf(position, "the lease of %s is shorter than three renewal intervals of %s",
			time.Duration(settings.LeaseDuration), time.Duration(settings.RenewalInterval))
	}
	silence := settings.Membership.SilenceTimeout
	interval := cmp.Or(settings.Membership.HeartbeatInterval, settings.RenewalInterval)
	if silence > 0 && silence < minHeartbeatsPerSilence*interval {
		d.errors.addf(positions.membership,
			"the silence timeout of %s is shorter than two heartbeat intervals of %s: "+
				"one lost heartbeat would be reported as silence",
			time.Duration(silence), time.Duration(interval))
	}
}

// checkVoters checks that the current set of voters is valid and, during a change, the previous one. It also checks
// that only the first epoch has no previous set.
func (d *decoder) checkVoters(lists *clusterLists) {
	position := lists.positions.voters
	if position == (sexpr.Position{}) {
		return // section has already reported that (voters …) is missing
	}
	voters := lists.cluster.Voters
	if err := voters.Check(); err != nil {
		d.errors.addf(position, "%v", err)
	}
	if voters.Epoch > 1 && len(voters.Previous) == 0 {
		d.errors.addf(position, "epoch %d requires (before …) with the voters of epoch %d",
			voters.Epoch, voters.Epoch-1)
	}
}

// checkProbe checks the configuration of health checks, after it has set the fields that come from lists other than
// (probe …).
func (d *decoder) checkProbe(lists *clusterLists) {
	config := lists.cluster.Probe
	if config == nil {
		return
	}
	config.Slots = lists.cluster.Slots
	config.MaxClockDrift = lists.cluster.MaxClockDrift
	if err := config.Check(); err != nil {
		d.errors.addf(lists.positions.probe, "%v", err)
	}
}

// checkKeys checks that the TLS files can be loaded and that the certificate is valid for this instance's name.
func (d *decoder) checkKeys(lists *clusterLists) {
	files := lists.cluster.TLS
	if files.Certificate == "" || files.Key == "" || files.Roots == "" {
		return // a missing list or an empty text has already been reported
	}
	keys, err := files.Load()
	if err == nil && lists.cluster.Name != "" {
		err = keys.CheckName(lists.cluster.Name, time.Now())
	}
	if err != nil {
		d.errors.addf(lists.positions.tls, "%v", err)
	}
}
