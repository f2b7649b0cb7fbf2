package settings

// reloadField is a group of settings that change together.
type reloadField struct {
	name string
	// reloadable means that a change takes effect while the node runs.
	reloadable bool
	equal      func(a, b Settings) bool
}

var reloadFields = []reloadField{
	{"Retries", true, func(a, b Settings) bool { return a.Retries == b.Retries }},
	{"Heartbeat", true, func(a, b Settings) bool { return a.Heartbeat == b.Heartbeat }},
	{"StopGrace", true, func(a, b Settings) bool { return a.StopGrace == b.StopGrace }},
	{"LogLevel", true, func(a, b Settings) bool { return a.LogLevel == b.LogLevel }},
	{"Limits.MaxBodyBytes", true, func(a, b Settings) bool { return a.Limits.MaxBodyBytes == b.Limits.MaxBodyBytes }},
	{"Limits.MaxHeaderBytes", true, func(a, b Settings) bool { return a.Limits.MaxHeaderBytes == b.Limits.MaxHeaderBytes }},
	{"Limits.HeaderTimeout", false, func(a, b Settings) bool { return a.Limits.HeaderTimeout == b.Limits.HeaderTimeout }},
	{"Limits.BodyTimeout", false, func(a, b Settings) bool { return a.Limits.BodyTimeout == b.Limits.BodyTimeout }},
	{"Node", false, func(a, b Settings) bool { return a.Node == b.Node }},
	{"AvailabilityZone", false, func(a, b Settings) bool { return a.AvailabilityZone == b.AvailabilityZone }},
	{"Host", false, func(a, b Settings) bool { return a.Host == b.Host }},
	{"Listen", false, func(a, b Settings) bool { return a.Listen == b.Listen }},
	{"Advertise", false, func(a, b Settings) bool { return a.Advertise == b.Advertise }},
	{"Platform", false, func(a, b Settings) bool { return a.Platform == b.Platform }},
	{"DefaultCaller", false, func(a, b Settings) bool { return a.DefaultCaller == b.DefaultCaller }},
}

// diff names the fields in which two settings differ: those that take effect while the node runs, and those that need a
// new process.
func diff(before, after Settings) (live, nextStart []string) {
	for _, f := range reloadFields {
		switch {
		case f.equal(before, after):
		case f.reloadable:
			live = append(live, f.name)
		default:
			nextStart = append(nextStart, f.name)
		}
	}
	return live, nextStart
}
