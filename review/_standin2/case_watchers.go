package main

import (
	"fmt"
	"sync"
	"time"
)

// The case looks for nodes that go on with an old configuration, because the nodes that watch the store itself for their zone are lost and
// nobody has taken their place.
func init() { cases["watchers"] = watchers }

const (
	configApply   = 2 * time.Second
	copyLag       = 3 * time.Second
	zoneMachines  = 5
	lostPerZone   = 3
	requestPeriod = 50 * time.Millisecond
	// clockSlack keeps a request that was sent at the bound itself out of the count.
	clockSlack = 100 * time.Millisecond
)

func watchers(s *site) int {
	s.startStore(copyLag)
	services := []string{"ordini", "catalogo"}
	order := func(service string) route {
		return route{"orders", "shop.example", "/order/", "non_idempotent", service, 2000, 1000, 1, 2}
	}
	s.store.put("config", "main", config(7, services, order("ordini")))
	for _, zone := range []string{"catania", "palermo", "siracusa"} {
		for i := 1; i <= zoneMachines; i++ {
			s.add(fmt.Sprintf("sidecar-%s-%d", zone, i), zone, services[i%2], 4, 20*time.Millisecond)
		}
	}
	for _, m := range s.machines {
		m.start(0)
	}
	s.waitAllReady()
	time.Sleep(8 * time.Second)

	var survivors []*machine
	for i, m := range s.machines {
		if i%zoneMachines < lostPerZone {
			if s.trouble {
				m.kill()
				s.endpoints[i].close()
				s.record.log("machine %s is lost", m.name)
			}
			continue
		}
		survivors = append(survivors, m)
	}

	// A client on each of the other machines places orders, before and after the change.
	var mu sync.Mutex
	answers, at := map[string]answer{}, map[string]*machine{}
	done := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range survivors {
		wait.Go(func() {
			c := &client{address: m.outbound}
			defer c.close()
			for {
				select {
				case <-done:
					return
				case <-time.After(requestPeriod):
				}
				a := c.send("POST", "/order/1", "shop.example", "an order", 5*time.Second)
				mu.Lock()
				answers[a.id], at[a.id] = a, m
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	ack := s.store.put("config", "main", config(19, services, order("catalogo")))
	s.record.say("version 19 is acknowledged: the orders' route goes to catalogo instead of ordini")
	time.Sleep(8 * time.Second)
	close(done)
	wait.Wait()

	late, total := 0, 0
	latest := time.Duration(0)
	nodes := map[string]bool{}
	for _, r := range s.runs() {
		a, ok := answers[r.attempt]
		if !ok {
			continue
		}
		total++
		after := a.sent.Sub(ack)
		if r.service != "ordini" || after <= 0 {
			continue
		}
		latest = max(latest, after)
		if after > configApply+clockSlack {
			late++
			nodes[at[a.id].name] = true
			s.record.log("order %s, sent to %s %d ms after the ack, is run by %s (%s); answer: %v", a.id, at[a.id].name, after.Milliseconds(), r.endpoint, r.service, a)
		}
	}
	served := 0
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
	}
	s.record.say("%d orders ran and %d of %d were answered with 200; the last one that ordini ran was sent %d ms after the ack", total, served, len(answers), latest.Milliseconds())
	s.record.say("%d orders were sent later than ConfigApplyMs (2000) after the ack, to %d machines that nothing has happened to, and run by ordini", late, len(nodes))
	if served < len(answers)/2 {
		s.record.say("fewer than half of the orders are served")
		return unable
	}
	if late > 0 {
		s.record.say("CONFIG is broken")
		return broken
	}
	return held
}
