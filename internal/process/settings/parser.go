package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
)

// The permitted ranges of the settings.
const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	// minBufferedBytes is a few hundred requests of a few kilobytes.
	minBufferedBytes = 1 << 20
	maxBufferedBytes = 16 << 30
	// minMemory is what a node without requests takes.
	minMemory  = 32 << 20
	maxMemory  = 1 << 40
	minTimeout = 100 * time.Millisecond
	maxTimeout = 10 * time.Minute
	// A target that stops without withdrawing is detected after three heartbeat intervals, so the interval is limited.
	maxHeartbeat = 30 * time.Second
	// With one retry per request an overload sustains itself, so the ratio must not be higher.
	maxRetryRatio = 1
	// A shorter window holds too few requests of a node for a meaningful ratio; a longer one keeps outdated counts.
	minRetryWindow = time.Second
	maxRetryWindow = time.Minute
	maxRetrySlack  = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// parser collects the settings while the file is read, with the listen addresses and their positions in the file.
type parser struct {
	settings  Settings
	addresses []listenAddress
}

// listenAddress is a listen address with the value in the file that it was read from.
type listenAddress struct {
	value   configfile.Value
	address netip.AddrPort
	// advertised is true if other nodes connect to this port on Host.
	advertised bool
}

func (p *parser) fields() []configfile.Field {
	s := &p.settings
	return []configfile.Field{
		configfile.Required("Node", configfile.Text(&s.Node, checkName)),
		configfile.Required("AvailabilityZone", configfile.Text(&s.AvailabilityZone, checkName)),
		configfile.Required("Host", configfile.Parsed(&s.Host, parseHost)),
		configfile.Required("Listen", configfile.Object(
			configfile.Required("Callers", p.listenField(&s.Listen.Callers, false)),
			configfile.Required("Targets", p.listenField(&s.Listen.Targets, false)),
			configfile.Required("Peers", p.listenField(&s.Listen.Peers, true)),
			configfile.Required("Forward", p.listenField(&s.Listen.Forward, true)),
			configfile.Required("Operators", p.listenField(&s.Listen.Operators, false)),
			configfile.Optional("Ready", p.listenField(&s.Listen.Ready, false)),
		)),
		configfile.Optional("Advertise", configfile.Object(
			configfile.Optional("Peers", configfile.Parsed(&s.Advertise.Peers, parseListen)),
			configfile.Optional("Forward", configfile.Parsed(&s.Advertise.Forward, parseListen)),
		)),
		configfile.Required("Platform", configfile.Parsed(&s.Platform, parsePlatform)),
		configfile.Optional("DefaultCaller", configfile.Text(&s.DefaultCaller, checkName)),
		configfile.Optional("Retries", configfile.Object(retryFields(&s.Retries)...)),
		configfile.Optional("Heartbeat", configfile.Duration(&s.Heartbeat, minTimeout, maxHeartbeat)),
		configfile.Optional("StopGrace", configfile.Duration(&s.StopGrace, minTimeout, MaxStopGrace)),
		configfile.Optional("ZoneTraffic", configfile.OneOf(&s.ZoneTraffic, ZoneTrafficFree, ZoneTrafficMetered)),
		configfile.Optional("LogLevel", configfile.OneOf(&s.LogLevel, "debug", "info", "warn", "error")),
		configfile.Optional("Placement", configfile.OneOf(&s.Placement, "count", "cost")),
		configfile.Optional("Limits", configfile.Object(limitFields(&s.Limits)...)),
	}
}

func limitFields(l *Limits) []configfile.Field {
	return []configfile.Field{
		configfile.Optional("MaxBodyBytes", configfile.Int(&l.MaxBodyBytes, minBodyBytes, maxBodyBytes)),
		configfile.Optional("MaxHeaderBytes", configfile.Int(&l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)),
		configfile.Optional("MaxBufferedBytes", configfile.Int(&l.MaxBufferedBytes, minBufferedBytes, maxBufferedBytes)),
		configfile.Optional("Memory", configfile.Int(&l.Memory, minMemory, maxMemory)),
		configfile.Optional("HeaderTimeout", configfile.Duration(&l.HeaderTimeout, minTimeout, maxTimeout)),
		configfile.Optional("BodyTimeout", configfile.Duration(&l.BodyTimeout, minTimeout, maxTimeout)),
	}
}

func retryFields(r *fleet.RetryBudget) []configfile.Field {
	return []configfile.Field{
		configfile.Optional("Ratio", configfile.Float(&r.Ratio, 0, maxRetryRatio)),
		configfile.Optional("Window", configfile.Duration(&r.Window, minRetryWindow, maxRetryWindow)),
		configfile.Optional("Slack", configfile.Float(&r.Slack, 0, maxRetrySlack)),
	}
}

// listenField returns a reader for a listen address that also records its position in the file.
func (p *parser) listenField(to *netip.AddrPort, advertised bool) configfile.Reader {
	return func(v configfile.Value) configfile.Problems {
		problems := configfile.Parsed(to, parseListen)(v)
		if problems == nil {
			p.addresses = append(p.addresses, listenAddress{value: v, address: *to, advertised: advertised})
		}
		return problems
	}
}

// check returns the problems that involve more than one field.
func (p *parser) check() configfile.Problems {
	var problems configfile.Problems
	for i, a := range p.addresses {
		for _, other := range p.addresses[:i] {
			if overlaps(a.address, other.address) {
				problems = append(problems, a.value.Problem("another listener has %s", other.address)...)
			}
		}
		ip := a.address.Addr()
		if a.advertised && p.settings.Host.IsValid() && !ip.IsUnspecified() && ip != p.settings.Host {
			problems = append(problems, a.value.Problem("%s is not reachable by other nodes; want Host (%s) or an unspecified address",
				ip, p.settings.Host)...)
		}
	}
	return problems
}

// overlaps reports whether two listeners with these addresses would conflict.
func overlaps(a, b netip.AddrPort) bool {
	sameIP := a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
	return a.Port() == b.Port() && sameIP
}

// checkName returns "" if s is a valid name, and otherwise a description of valid names.
func checkName(s string) string {
	if namePattern.MatchString(s) {
		return ""
	}
	return "1 to 64 letters, digits, dots, hyphens and underscores that start with a letter or digit"
}

func parseHost(s string) (netip.Addr, error) {
	ip, err := netip.ParseAddr(s)
	if err != nil || ip.IsUnspecified() || ip.IsMulticast() {
		return netip.Addr{}, errors.New("want the IP address of this host, such as 10.0.1.11")
	}
	return ip, nil
}

func parseListen(s string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(s)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, errors.New("want an IP address and a port, such as 127.0.0.1:8080")
	}
	return address, nil
}

func parsePlatform(s string) (string, error) {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.User != nil || (u.Path != "" && u.Path != "/") ||
		u.RawQuery != "" || u.Fragment != "" {
		return "", errors.New("want an http URL without a path, such as http://10.0.1.2:7000")
	}
	return "http://" + u.Host, nil
}
