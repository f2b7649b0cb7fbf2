package main

import (
	"time"
)

// killedNode looks for a sound endpoint that gets no requests long after its node was restarted. The service has one route, for orders,
// and three endpoints. The disruption: the node beside one endpoint is killed once and is back after a second.
func killedNode(s *site) int {
	const orders, catalogue = "wuno96b", "huvo11a"
	s.store.configure(config(7, []string{orders, catalogue},
		route("/puka111/", "non_idempotent", orders), route("/leny950/", "idempotent", catalogue)))
	var senders []*node
	for _, zone := range []string{"palermo", "catania"} {
		n := s.addNode("sidecar-"+zone+"-1", zone, catalogue)
		senders = append(senders, n)
		startEndpoint(s.record, n, "i-"+zone+"-1", catalogue, 4, 290*time.Millisecond)
	}
	var endpoints []*endpoint
	var nodes []*node
	for _, zone := range []string{"palermo", "catania", "siracusa"} {
		n := s.addNode("sidecar-"+zone+"-2", zone, orders)
		nodes = append(nodes, n)
		endpoints = append(endpoints, startEndpoint(s.record, n, "i-"+zone+"-2", orders, 4, 290*time.Millisecond))
	}
	s.waitReady()
	time.Sleep(2*stableWindow + time.Second)
	load := newLoad(s)
	// 33 orders a second; three endpoints with four slots can run 41, two of them 27.
	for _, n := range senders {
		load.start(n, 16.5)
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.record.printf("node %s is killed", nodes[0].name)
		nodes[0].kill()
		time.Sleep(time.Second)
		nodes[0].start()
		s.record.printf("node %s is started again", nodes[0].name)
		if !nodes[0].waitReady(5 * time.Second) {
			return notRun
		}
		s.record.printf("node %s is ready", nodes[0].name)
	}
	time.Sleep(2*stableWindow + time.Second)
	from := time.Now()
	time.Sleep(15 * time.Second)
	until := time.Now()
	answers := load.end()
	return s.judgeFloor(endpoints, answers, nil, from, until)
}
