package operatorconfig

import "tealpath/internal/lifecycle/startup"

// Section is a part of the operator's file that has to fit the platform's configuration.
type Section string

// The sections that have to fit: to the number of routers, to the limits of the process, or to what the settings allow.
const (
	SectionStart Section = "start"
	SectionLinks Section = "links"
	SectionIdle  Section = "idle"
	SectionProbe Section = "probe"
)

// SectionError reports a section that does not fit the platform's configuration.
type SectionError struct {
	Section Section
	Err     error // has the position in the file and the reason
}

func (e *SectionError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *SectionError) Unwrap() error { return e.Err }

// Disable turns a section off, as if the file did not have it.
func (f *File) Disable(section Section) {
	switch section {
	case SectionStart:
		f.ReadinessHold = startup.ReadinessHold{}
	case SectionLinks:
		f.Connections = nil
	case SectionIdle:
		f.Idle = nil
	case SectionProbe:
		f.Cluster.Probe = nil
	}
}
