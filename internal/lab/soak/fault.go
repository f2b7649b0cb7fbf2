package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"jayfold.dev/jayfold/internal/lab/link"
	labtarget "jayfold.dev/jayfold/internal/lab/target"
)

// linkDelay is that of a delayed link, above the time for which nodes wait for a round trip.
const linkDelay = 250 * time.Millisecond

// lostAnswers is the number of writes whose answers the platform loses.
const lostAnswers = 3

// carryOut begins each step at its time, undoes it at its end, and returns when all are undone.
func (s *site) carryOut(ctx context.Context, plan []Step) {
	var steps sync.WaitGroup
	defer steps.Wait()
	for _, step := range plan {
		wait(ctx, time.Until(s.begun.Add(step.Start)))
		if ctx.Err() != nil {
			return
		}
		fmt.Fprintln(s.settings.Out, step)
		steps.Go(func() {
			s.inject(ctx, step)
			wait(ctx, step.Duration)
			s.clear(ctx, step)
		})
	}
}

// inject carries a fault out.
func (s *site) inject(ctx context.Context, step Step) {
	n := s.nodes[step.Node-1]
	t := n.targets[step.Target-1]
	switch step.Kind {
	case KillNode:
		n.process.signal(syscall.SIGKILL)
	case StopNode:
		n.process.signal(syscall.SIGTERM)
	case PauseNode:
		n.process.signal(syscall.SIGSTOP)
	case Reload:
		n.process.signal(syscall.SIGHUP)
	case KillTarget:
		t.process.signal(syscall.SIGKILL)
	case StopTarget:
		t.process.signal(syscall.SIGTERM)
	case PauseTarget:
		t.process.signal(syscall.SIGSTOP)
	case FailTarget:
		s.setTargetFaults(ctx, t, labtarget.Faults{ErrorRate: 0.8})
	case SlowTarget:
		s.setTargetFaults(ctx, t, labtarget.Faults{Slowdown: 8})
	case ChangeTables:
		// A change that fails, in an outage, changes nothing or is seen by the nodes later.
		_ = s.apply(ctx)
	default:
		s.disturb(ctx, step, n)
	}
}

// disturb carries out a fault of a link or of the platform.
func (s *site) disturb(ctx context.Context, step Step, n *node) {
	direction := link.Forward
	if step.Backward {
		direction = link.Backward
	}
	switch step.Kind {
	case DelayLink:
		n.setLinks(link.Condition{Delay: linkDelay})
	case CutLink:
		n.setLinks(link.Condition{Cut: direction})
	case ResetLink:
		n.peers.Reset()
		n.forward.Reset()
		n.platform.Reset()
	case SilenceLink:
		n.peers.Silence()
		n.forward.Silence()
		n.platform.Silence()
	case CutPlatform:
		n.platform.Set(link.Condition{Cut: link.Both})
	case Outage:
		s.setPlatformFaults(ctx, `{"Outage": true, "Delay": "0s"}`)
	case SilentStore:
		s.setPlatformFaults(ctx, `{"Silent": true, "Delay": "0s"}`)
	case SlowStore:
		s.setPlatformFaults(ctx, `{"Delay": "400ms"}`)
	case LostResponses:
		s.setPlatformFaults(ctx, fmt.Sprintf(`{"LoseResponses": %d, "Delay": "0s"}`, lostAnswers))
	}
}

// clear ends a fault. Where two of one kind overlap on one thing, the first end ends both.
func (s *site) clear(ctx context.Context, step Step) {
	n := s.nodes[step.Node-1]
	t := n.targets[step.Target-1]
	switch step.Kind {
	case KillNode, StopNode:
		n.process.end(syscall.SIGTERM)
		s.report(n.process.start())
	case PauseNode:
		n.process.signal(syscall.SIGCONT)
	case KillTarget, StopTarget:
		t.process.end(syscall.SIGTERM)
		s.report(t.process.start())
	case PauseTarget:
		t.process.signal(syscall.SIGCONT)
	case FailTarget, SlowTarget:
		s.setTargetFaults(ctx, t, labtarget.Faults{})
	case DelayLink, CutLink:
		n.setLinks(link.Condition{})
	case CutPlatform:
		n.platform.Set(link.Condition{})
	case Outage, SilentStore, SlowStore, LostResponses:
		s.setPlatformFaults(ctx, `{"Delay": "0s"}`)
	}
}

func (n *node) setLinks(c link.Condition) {
	n.peers.Set(c)
	n.forward.Set(c)
}

// report tells of a program that could not be started.
func (s *site) report(err error) {
	if err != nil {
		fmt.Fprintln(s.settings.Out, "soak:", err)
	}
}

// setTargetFaults sets the faults of a target. One that is not there takes none.
func (s *site) setTargetFaults(ctx context.Context, t *target, f labtarget.Faults) {
	body, err := json.Marshal(f)
	s.report(err)
	s.put(ctx, "http://"+t.address+"/admin/faults", body)
}

// setPlatformFaults sets the faults of the platform.
func (s *site) setPlatformFaults(ctx context.Context, faults string) {
	s.put(ctx, "http://"+s.store+"/admin/faults", []byte(faults))
}

func (s *site) put(ctx context.Context, url string, body []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		s.report(err)
		return
	}
	response, err := s.http.Do(request)
	if err != nil {
		return
	}
	if response.StatusCode >= http.StatusBadRequest {
		fmt.Fprintf(s.settings.Out, "soak: PUT %s: %s\n", url, response.Status)
	}
	_ = response.Body.Close()
}

// change is a revision that the platform accepted.
type change struct {
	revision uint64
	at       time.Time
}

// changesKept bounds the changes that wait for the watcher.
const changesKept = 1024

var accepted = regexp.MustCompile(`revision (\d+) is accepted`)

// deadlines are those of the routes, in seconds, which differ from one revision to the next.
var deadlines = []int{5, 6, 7}

// apply brings another revision of the tables into force.
func (s *site) apply(ctx context.Context) error {
	s.edits.Lock()
	defer s.edits.Unlock()
	s.edit++
	deadline := deadlines[s.edit%len(deadlines)]
	routes := fmt.Sprintf(`{"Routes": [
	{"Name": "read", "PathPrefix": "/catalogue", "Pool": "shop", "Class": "Lookup", "Deadline": "%ds"},
	{"Name": "order", "PathPrefix": "/orders", "Methods": ["POST"], "Pool": "shop", "Class": "Order", "Deadline": "%ds"}]}`, deadline, deadline)
	const pools = `{"Pools": [{"Name": "shop", "Service": "shop", "Floor": 3, "FalseEjectionInterval": "24h"}]}`
	for name, content := range map[string]string{"routes.json": routes, "pools.json": pools} {
		if err := os.WriteFile(s.file(name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	out, err := exec.CommandContext(ctx, s.settings.Jayfold, "tables", "apply", "--platform", "http://"+s.store,
		"--routes", s.file("routes.json"), "--pools", s.file("pools.json")).Output()
	if err != nil {
		return err
	}
	if found := accepted.FindSubmatch(out); found != nil {
		revision, err := strconv.ParseUint(string(found[1]), 10, 64)
		if err != nil {
			return err
		}
		s.changes <- change{revision: revision, at: time.Now()}
	}
	return nil
}
