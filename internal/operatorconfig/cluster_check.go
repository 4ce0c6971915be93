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
	minRenewalsPerLease     = 3 // renewal intervals that a lease lasts
	minHeartbeatsPerSilence = 2 // heartbeat intervals after which silence may be reported
)

// checkCluster checks the lists of (fleet …) against each other, and sets the fields of the cluster that depend
// on several of them.
func (d *decoder) checkCluster(lists *clusterLists) {
	lists.setInstances()
	d.checkAddresses(lists)
	d.checkVoterNames(lists)
	d.checkDurations(lists)
	d.checkVoters(lists)
	d.checkProbe(lists)
	d.checkKeys(lists)
}

// setInstances sets the instances of the cluster, and the weight and the address of this one. (listen …) takes
// precedence over the address in (instances …).
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

// checkAddresses checks that connections to all addresses are allowed, and that this instance has one.
func (d *decoder) checkAddresses(lists *clusterLists) {
	settings := lists.cluster
	isOutside := func(address netip.AddrPort) bool {
		return address.IsValid() && !settings.Allow.Contains(address.Addr())
	}
	for _, instance := range lists.instances {
		if isOutside(instance.address) {
			d.errors.addf(instance.position, "the address %s of %s is outside the allowed sets",
				instance.address, instance.name)
		}
	}
	if isOutside(lists.listen) {
		d.errors.addf(lists.positions.listen, "the address %s is outside the allowed sets", lists.listen)
	}
	if settings.Name != "" && settings.Listen == "" {
		d.errors.addf(lists.positions.cluster,
			"%s is not among the instances, and no (listen …) says where it takes links", settings.Name)
	}
}

// checkVoterNames checks that each voter is an instance.
func (d *decoder) checkVoterNames(lists *clusterLists) {
	isInstance := map[string]bool{}
	for _, instance := range lists.instances {
		isInstance[instance.name] = true
	}
	voters := slices.Concat(lists.cluster.Voters.Current, lists.cluster.Voters.Previous)
	for _, voter := range voters {
		if !isInstance[voter] {
			d.errors.addf(lists.positions.voters, "voter %s is not among the instances", voter)
		}
	}
}

// checkDurations checks that the loss of a single message neither ends a lease nor is reported as silence.
func (d *decoder) checkDurations(lists *clusterLists) {
	settings, positions := lists.cluster, lists.positions
	if settings.LeaseDuration < minRenewalsPerLease*settings.RenewalInterval {
		position := cmp.Or(positions.lease, positions.renewal, positions.cluster)
		d.errors.addf(position, "the lease of %s is shorter than three renewals of %s",
			time.Duration(settings.LeaseDuration), time.Duration(settings.RenewalInterval))
	}
	silence := settings.Membership.SilenceTimeout
	interval := cmp.Or(settings.Membership.HeartbeatInterval, settings.RenewalInterval)
	if silence > 0 && silence < minHeartbeatsPerSilence*interval {
		d.errors.addf(positions.membership,
			"the silence of %s is shorter than two intervals of %s: one lost beat would be reported",
			time.Duration(silence), time.Duration(interval))
	}
}

// checkVoters checks the sets of voters, those before a change included.
func (d *decoder) checkVoters(lists *clusterLists) {
	position := lists.positions.voters
	if position == (sexpr.Position{}) {
		return // that they are missing is an error already
	}
	voters := lists.cluster.Voters
	if err := voters.Check(); err != nil {
		d.errors.addf(position, "%v", err)
	}
	if voters.Epoch > 1 && len(voters.Previous) == 0 {
		d.errors.addf(position, "epoch %d needs (before …): the voters of the epoch before", voters.Epoch)
	}
}

// checkProbe checks the health checks, with the settings of the leases under which they are made.
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

// checkKeys checks that the certificate can be loaded and is valid for this instance's name.
func (d *decoder) checkKeys(lists *clusterLists) {
	files := lists.cluster.TLS
	if files.Certificate == "" || files.Key == "" || files.Roots == "" {
		return // that one is missing is an error already
	}
	keys, err := files.Load()
	if err == nil && lists.cluster.Name != "" {
		err = keys.CheckName(lists.cluster.Name, time.Now())
	}
	if err != nil {
		d.errors.addf(lists.positions.tls, "%v", err)
	}
}
