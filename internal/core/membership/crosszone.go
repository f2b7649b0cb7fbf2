package membership

// crossZoneCopies is the number of times that the nodes of one zone together send a record to other zones while bytes between zones
// are expensive. A zone of eight nodes with crossZoneSends each sends as many; in a zone of 28, each copy beyond them would be the
// 25th to 84th.
const crossZoneCopies = 24

// WithMeteredZones returns the state in which bytes between availability zones are expensive or not.
func (s State) WithMeteredZones(metered bool) State {
	s.meteredZones = metered
	return s
}

// crossZoneShare returns this node's part of what the nodes of its zone send to other zones: count in a small zone, and fewer in a
// zone that would otherwise exceed crossZoneCopies.
func (s State) crossZoneShare(count int) int {
	if !s.meteredZones {
		return count
	}
	zoneSize := len(s.ownZone.ids) + 1
	return min(count, (crossZoneCopies+zoneSize-1)/zoneSize)
}
