package main

import "time"

// The case looks for requests that an endpoint runs with another path than the client sent.
func init() { cases["paths"] = paths }

// calmPaths have only bytes that a path may have (RFC 3986, section 3.3); troublePaths have bytes that clients send all the same, and
// HTTP/1.1 heads carry without harm.
var (
	calmPaths = []string{
		"/order/a", "/order/a;b=c", "/order/%41", "/order/a%2fb", "/order/a%2Fb", "/order//a", "/order/~a", "/order/a'(b)*!$&+,=:@", "/order/a?b|c",
	}
	troublePaths = []string{
		"/order/a|b", "/order/caf\xc3\xa9", "/order/{17}", "/order/a^b", "/order/a\"b", "/order/a`b", "/order/a\\b", "/order/<a>", "/order/caf\xe9",
	}
)

func paths(s *site) int {
	s.startStore(0)
	s.store.put("config", "main", config(7, []string{"ordini"}, route{"r1", "shop.example", "/order/", "non_idempotent", "ordini", 4000, 2000, 1, 2}))
	for _, name := range []string{"sidecar-1", "sidecar-2"} {
		s.add(name, "palermo", "ordini", 4, 20*time.Millisecond)
	}
	for _, m := range s.machines {
		m.start(0)
	}
	s.waitAllReady()
	time.Sleep(6 * time.Second)
	sent := calmPaths
	if s.trouble {
		sent = append(sent, troublePaths...)
	}
	targets := map[string]string{}
	served := 0
	for _, m := range s.machines {
		c := &client{address: m.outbound}
		for _, path := range sent {
			a := c.send("POST", path, "shop.example", "one order", 4*time.Second)
			targets[a.id] = path
			if a.status == 200 {
				served++
			}
			s.record.log("order %s, sent to %s with path %q: %v", a.id, m.name, path, a)
		}
		c.close()
	}
	changed := 0
	for _, r := range s.runs() {
		if want, ok := targets[r.attempt]; ok && want != r.target {
			changed++
			s.record.log("order %s was sent with path %q and run with %q", r.attempt, want, r.target)
		}
	}
	s.record.say("%d orders: %d answered with 200, %d run with another path than they were sent with", len(targets), served, changed)
	if served < 2*len(calmPaths) {
		return unable
	}
	if changed > 0 {
		s.record.say("UNASKED is broken")
		return broken
	}
	return held
}
