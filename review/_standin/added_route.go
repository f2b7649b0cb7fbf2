package main

import (
	"net/http"
	"strings"
	"time"
)

// addedRoute looks for a request that is run by a service to which no configuration sends it. Orders under /puka111/ go to one service.
// The disruption: a configuration adds a route /puka111/2f/ to another service. POST /puka111/2f still begins with /puka111/ only.
func addedRoute(s *site) int {
	const orders, catalogue = "wuno96b", "huvo11a"
	services := []string{orders, catalogue}
	base := route("/puka111/", "non_idempotent", orders)
	s.store.configure(config(7, services, base))
	var endpoints []*endpoint
	for _, zone := range []string{"palermo", "catania"} {
		for _, service := range services {
			n := s.addNode("sidecar-"+zone+"-"+service, zone, service)
			endpoints = append(endpoints, startEndpoint(s.record, n, "i-"+zone+service, service, 4, 50*time.Millisecond))
		}
	}
	s.waitReady()
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.store.configure(config(9, services, base, route("/puka111/2f/", "idempotent", catalogue)))
		s.record.printf("configuration 9 is acknowledged: adds /puka111/2f/ to %s", catalogue)
	}
	time.Sleep(3 * time.Second)
	foreign, served := 0, 0
	for range 10 {
		for _, n := range s.nodes {
			a := newClient(s.record, n).send(http.MethodPost, "/puka111/2f", 5*time.Second, 1200)
			if a.status != http.StatusOK || !a.signed {
				continue
			}
			served++
			if !strings.HasPrefix(a.body, orders) {
				foreign++
			}
		}
	}
	wrong := 0
	for _, e := range endpoints {
		for _, a := range e.seen() {
			if a.ran && e.service != orders {
				wrong++
			}
		}
	}
	s.record.printf("40 orders sent, %d served, %d answers from another service, %d orders run by %s", served, foreign, wrong, catalogue)
	switch {
	case served < 20:
		return notRun
	case wrong > 0:
		return broken
	default:
		return held
	}
}
