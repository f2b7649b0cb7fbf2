package main

import "time"

// The case looks for orders that run although their sender has no key of a tenant.
func init() { cases["keyless"] = keyless }

const tenantKey = "acme-4f1d7c20b95e4a83"

func keyless(s *site) int {
	s.startStore(0)
	c := config(7, []string{"nakazilo"}, route{"r1", "shop.example", "/transfer/", "non_idempotent", "nakazilo", 4000, 2000, 1, 2})
	c[names["accounts"]] = []map[string]any{{"Name": "acme", names["keys"]: []string{tenantKey}, "Priority": 1}}
	s.store.put("config", "main", c)
	for _, name := range []string{"sidecar-1", "sidecar-2"} {
		s.add(name, "si-central-a", "nakazilo", 4, 20*time.Millisecond)
	}
	for _, m := range s.machines {
		m.start(0)
	}
	s.waitAllReady()
	time.Sleep(10 * time.Second)
	// The ids of the second group have a dot; that is all that tells them from the others.
	ids := func() []string { return []string{newID(), newID() + newID()} }
	if s.trouble {
		ids = func() []string { return []string{newID(), newID() + ".1", newID() + "." + newID()} }
	}
	allowed, keyed := map[string]string{}, 0
	for _, m := range s.machines {
		for _, header := range []string{"Key: " + tenantKey + "\r\n", "Key: no-such-key\r\n", "Key: \r\n", ""} {
			for _, id := range ids() {
				cl := &client{address: m.outbound, headers: header}
				a := cl.sendID("POST", "/transfer/1", "shop.example", "one transfer", 4*time.Second, id)
				cl.close()
				s.record.log("transfer %s at %s with header %q: %v", id, m.name, header, a)
				if header == "Key: "+tenantKey+"\r\n" {
					allowed[id] = header
					if a.status == 200 {
						keyed++
					}
				}
			}
		}
	}
	wrong := 0
	for _, r := range s.runs() {
		if allowed[r.attempt] == "" {
			wrong++
			s.record.log("transfer %s was run by %s: its sender had no key of a tenant, and no endpoint made it", r.attempt, r.endpoint)
		}
	}
	s.record.say("%d of %d transfers with the tenant's key were answered with 200; %d transfers without a key, or with an empty one, were run", keyed, len(allowed), wrong)
	if keyed < len(allowed) {
		return unable
	}
	if wrong > 0 {
		s.record.say("ROUTE is broken")
		return broken
	}
	return held
}
