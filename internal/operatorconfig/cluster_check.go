package operatorconfig

import (
	"cmp"
	"slices"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/operatorconfig/sexpr"
	"time"
)

// A lease outlives so many renewals at least, and a silence so many heartbeats.
const (
	minRenewalsPerLease     = 3
	minHeartbeatsPerSilence = 2
)

// checkCluster checks what the lists of (fleet …) say of each other.
func (d *decoder) checkCluster(lists *clusterLists) {
	d.checkInstances(lists)
	d.checkVoterNames(lists)
	d.checkDurations(lists)
	d.checkVoters(lists)
	d.checkProbe(lists)
	d.checkKeys(lists)
}

// checkInstances takes over the instances, and from them what concerns this one.
func (d *decoder) checkInstances(lists *clusterLists) {
	settings := lists.cluster
	for _, i := range lists.instances {
		settings.Instances = append(settings.Instances, membership.Contact{
			Name:    i.name,
			Address: i.address.String(),
			Weight:  i.weight,
		})
		if i.address.IsValid() && !settings.Allow.Contains(i.address.Addr()) {
			d.errors.addf(i.position, "the address %s of %s is outside the allowed sets", i.address, i.name)
		}
		if i.name == settings.Name {
			settings.Weight = i.weight
			settings.Listen = i.address.String()
		}
	}
	if lists.listen.IsValid() {
		settings.Listen = lists.listen.String()
		if !settings.Allow.Contains(lists.listen.Addr()) {
			d.errors.addf(lists.positions.listen, "the address %s is outside the allowed sets", lists.listen)
		}
	}
	if settings.Name != "" && settings.Listen == "" {
		d.errors.addf(lists.positions.cluster,
			"%s is not among the instances, and no (listen …) says where it takes links", settings.Name)
	}
}

// checkVoterNames checks that each voter is an instance.
func (d *decoder) checkVoterNames(lists *clusterLists) {
	known := map[string]bool{}
	for _, i := range lists.instances {
		known[i.name] = true
	}
	voters := slices.Concat(lists.cluster.Voters.Current, lists.cluster.Voters.Previous)
	for _, voter := range voters {
		if !known[voter] {
			d.errors.addf(lists.positions.voters, "voter %s is not among the instances", voter)
		}
	}
}

// checkDurations checks that the loss of one message ends no lease and is reported by nobody.
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
