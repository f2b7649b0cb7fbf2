package settings

// reloadField is a setting, or a group of settings, that reloads report under one name.
type reloadField struct {
	name string
	// reloadable is true if a change takes effect without a restart.
	reloadable bool
	equal      func(a, b Settings) bool
}

var reloadFields = []reloadField{
	{"Retries", true, func(a, b Settings) bool { return a.Retries == b.Retries }},
	{"Heartbeat", true, func(a, b Settings) bool { return a.Heartbeat == b.Heartbeat }},
	{"StopGrace", true, func(a, b Settings) bool { return a.StopGrace == b.StopGrace }},
	{"ZoneTraffic", true, func(a, b Settings) bool { return a.ZoneTraffic == b.ZoneTraffic }},
	{"LogLevel", true, func(a, b Settings) bool { return a.LogLevel == b.LogLevel }},
	{"Placement", true, func(a, b Settings) bool { return a.Placement == b.Placement }},
	{"Limits.MaxBodyBytes", true, func(a, b Settings) bool { return a.Limits.MaxBodyBytes == b.Limits.MaxBodyBytes }},
	{"Limits.MaxHeaderBytes", true, func(a, b Settings) bool { return a.Limits.MaxHeaderBytes == b.Limits.MaxHeaderBytes }},
	{"Limits.MaxBufferedBytes", false, func(a, b Settings) bool { return a.Limits.MaxBufferedBytes == b.Limits.MaxBufferedBytes }},
	{"Limits.Memory", true, func(a, b Settings) bool { return a.Limits.Memory == b.Limits.Memory }},
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

// diff returns the names of the fields in which two settings differ: those that a reload applies, and those that take effect
// at the next start of the process.
func diff(before, after Settings) (reloaded, nextStart []string) {
	for _, f := range reloadFields {
		switch {
		case f.equal(before, after):
		case f.reloadable:
			reloaded = append(reloaded, f.name)
		default:
			nextStart = append(nextStart, f.name)
		}
	}
	return reloaded, nextStart
}
