package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// site is a small deployment.
type site struct {
	record    *record
	dir       string
	trouble   bool
	store     *store
	mu        sync.Mutex
	machines  []*machine
	endpoints []*endpoint
	net       int
	// memoryMB is MemoryMb of the machines.
	memoryMB int
}

func newSite(recordPath string) *site {
	dir, err := os.MkdirTemp("", "review")
	orDie(err, "temporary folder")
	return &site{
		record: newRecord(recordPath), dir: dir, trouble: os.Getenv("TROUBLE") != "0", net: 2 + rand.IntN(250), memoryMB: 284,
	}
}

// ip returns the loopback address of a machine; 0 is the store's.
func (s *site) ip(number int) string { return fmt.Sprintf("127.%d.1.%d", s.net, number+1) }

func (s *site) startStore(lag time.Duration) {
	var err error
	s.store, err = newStore(s.ip(0), lag)
	orDie(err, "store")
}

// add adds a machine with a node, which isn't started yet, and an endpoint.
func (s *site) add(name, zone, service string, slots int, work time.Duration) (*machine, *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ip := s.ip(len(s.machines) + 1)
	m := newMachine(s.dir, name, zone, service, ip, s.store.address, s.memoryMB)
	e := newEndpoint(s.record, ip, "i-"+newID()[:8], service, zone, slots, work)
	s.machines, s.endpoints = append(s.machines, m), append(s.endpoints, e)
	e.beat(m.control)
	return m, e
}

func (s *site) waitAllReady() {
	for _, m := range s.machines {
		if !m.waitReady(20 * time.Second) {
			panic("node " + m.name + " is not ready")
		}
	}
}

func (s *site) runs() []run {
	var all []run
	for _, e := range s.endpoints {
		e.mu.Lock()
		all = append(all, e.runs...)
		e.mu.Unlock()
	}
	return all
}

func (s *site) close() {
	for _, m := range s.machines {
		m.kill()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	if s.store != nil {
		_ = s.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}
