package config

// setting maps a setting of the configuration file to a key of control.DecodeSettings.
type setting struct {
	group     string // key of the object, or list of objects, with the setting in the file; empty: the top level
	key       string // key of the setting in the file
	name      string // key for control.DecodeSettings
	valueType valueType
}

// settings lists the settings of the file that are decoded, in the order in which this is done. All of them are part
// of the digest in snapshots, including those that control.DecodeSettings ignores.
var settings = []setting{
	{"", "balancers", "routers", integer},
	{"", "selfIndex", "router.place", integer},
	{"", "locality", "location", text},
	{"", "failureDomains", "locations", text},
	{"", "machineTypes", "kinds", text},
	{"", "discovery", "list.mode", text},
	{"", "weights", "units", text},
	{"", "worthBy", "payoff.by", text},
	{"familyInfo", "zoneBalancers", "location.routers", integer},
	{"familyInfo", "homeHub", "location.hub", integer},
	{"familyInfo", "feedKbPerS", "location.linkKBPerS", number},
	{"familyInfo", "clientKbPerS", "clientKBPerS", number},
	{"familyInfo", "direct", "direct", flag},
	{"familyInfo", "joins", "joins", flag},
	{"familyInfo", "neighbours", "neighbours", text},
	{"familyInfo", "says", "notes", text},
	{"familyInfo", "upperKind", "kind.parent", integer},
	{"familyInfo", "rootKind", "kind.origin", integer},
	{"familyInfo", "originFallMultiple", "origin.fallFactor", number},
	{"familyInfo", "rootFallS", "origin.fallWindow", seconds},
	{"familyInfo", "parentStartsAt", "parent.coldShare", number},
	{"familyInfo", "parentWarmsInS", "parent.coldSpan", seconds},
	{"familyInfo", "parentLimitFactor", "parent.coldFactor", number},
	{"familyInfo", "priceOfLink", "price.link", number},
	{"familyInfo", "purgeSlackS", "purge.grace", seconds},
	{"familyInfo", "purgeTakesS", "purge.takes", seconds},
	{"familyInfo", "freshForS", "product.fresh", seconds},
	{"familyInfo", "graceForS", "product.staleSpan", seconds},
	{"familyInfo", "staleEarns", "product.stalePayoff", number},
	{"familyInfo", "inPieces", "product.parts", flag},
	{"familyInfo", "neverKept", "product.neverKept", flag},
	{"limits", "attemptsCap", "dispatches.most", integer},
	{"limits", "cancel", "cancel", flag},
	{"limits", "secondCopies", "dispatches.together", flag},
	{"limits", "mayProbe", "probe", flag},
	{"limits", "retryAfter", "advice", flag},
	{"limits", "maxRetryAfterS", "advice.most", seconds},
	{"limits", "dialTimeoutS", "connect.within", seconds},
	{"limits", "connIdleS", "connect.idle", seconds},
	{"limits", "streamsPerConn", "connect.streams", integer},
	{"limits", "maxOpen", "hands.most", integer},
	{"obligations", "askEveryS", "list.askWithin", seconds},
	{"obligations", "coldFrom", "cold.share", number},
	{"obligations", "warmUpS", "cold.span", seconds},
	{"obligations", "overloadFactor", "cold.factor", number},
	{"obligations", "fallS", "cold.window", seconds},
	{"obligations", "stopSendingWithinS", "drain.grace", seconds},
	{"obligations", "graceToAnswerS", "answer.grace", seconds},
	{"report", "fields", "report.fields", translatedWord},
	{"report", "source", "report.mode", text},
	{"profiles", "name", "product.names", text},
	{"profiles", "points", "product.payoff", number},
	{"profiles", "effect", "product.effect", translatedWord},
	{"profiles", "keyScope", "product.scope", text},
	{"profiles", "dedupWindowS", "product.window", seconds},
	{"profiles", "onTimeS", "product.due", seconds},
	{"profiles", "aimStretch", "product.dueStretch", number},
	{"profiles", "deadlineS", "product.hardStop", seconds},
	{"profiles", "lateWorth", "product.latePayoff", number},
	{"profiles", "streamed", "product.streamed", flag},
	{"callers", "marksRetry", "client.marksRepeats", flag},
}

// words translates words of the file into those of control.DecodeSettings. It applies only to values of type
// translatedWord: a name, such as that of a class, may be the same as one of these words and is not translated.
var words = map[string]string{
	"retryable": "harmless", "dedup": "stamped", "fragile": "one-shot",
	"outstanding": "inHand", "utilization": "busy", "backlog": "queued", "recent_ms": "answerMs",
}
