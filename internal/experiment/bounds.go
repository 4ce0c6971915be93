package experiment

import "tealpath/internal/experiment/membership"

// Bounds of docs/membership.md, which simulated members are held against like real ones.
const (
	detectBound = membership.MaxDetectionMS
	judgedBound = membership.MaxJudgementMS
	agreeBound  = membership.MaxDisagreementMS
	linksBound  = membership.MaxLinks
)
