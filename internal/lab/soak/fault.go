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

// linkDelay is the delay of a delayed link. It exceeds the round-trip timeout of the nodes.
const linkDelay = 250 * time.Millisecond

// copyLead is the time between the copy from which the platform is restored and the start of its outage.
const copyLead = 2 * time.Second

// lostResponses is the number of writes whose responses the platform loses.
const lostResponses = 3

// runPlan injects each fault at its start, clears it after its duration, and returns when all are cleared.
func (s *site) runPlan(ctx context.Context, plan []Step) {
	var steps sync.WaitGroup
	defer steps.Wait()
	for _, step := range plan {
		sleep(ctx, time.Until(s.planStart.Add(step.Start)))
		if ctx.Err() != nil {
			return
		}
		fmt.Fprintln(s.settings.Out, step)
		steps.Go(func() {
			s.inject(ctx, step)
			sleep(ctx, step.Duration)
			s.clear(ctx, step)
		})
	}
}

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
		// A change that fails during an outage has no effect or reaches the nodes later.
		_ = s.applyTables(ctx)
	default:
		s.injectEnvironmentFault(ctx, step, n)
	}
}

// injectEnvironmentFault injects a fault into a link or the platform.
func (s *site) injectEnvironmentFault(ctx context.Context, step Step, n *node) {
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
	case Outage, RestoredStore:
		s.setPlatformFaults(ctx, `{"Outage": true, "Delay": "0s"}`)
	case SilentPlatform:
		s.setPlatformFaults(ctx, `{"Silent": true, "Delay": "0s"}`)
	case SlowPlatform:
		s.setPlatformFaults(ctx, `{"Delay": "400ms"}`)
	case LostResponses:
		s.setPlatformFaults(ctx, fmt.Sprintf(`{"LoseResponses": %d, "Delay": "0s"}`, lostResponses))
	}
}

// clear ends a fault. It resets the whole condition of a link and all faults of a target or of the platform, so that it also ends
// other faults that overlap there. If two faults of one kind overlap on one process, the first end clears both.
func (s *site) clear(ctx context.Context, step Step) {
	n := s.nodes[step.Node-1]
	t := n.targets[step.Target-1]
	switch step.Kind {
	case KillNode, StopNode:
		n.process.stop(syscall.SIGTERM)
		s.logError(n.process.start())
	case PauseNode:
		n.process.signal(syscall.SIGCONT)
	case KillTarget, StopTarget:
		t.process.stop(syscall.SIGTERM)
		s.logError(t.process.start())
	case PauseTarget:
		t.process.signal(syscall.SIGCONT)
	case FailTarget, SlowTarget:
		s.setTargetFaults(ctx, t, labtarget.Faults{})
	case DelayLink, CutLink:
		n.setLinks(link.Condition{})
	case CutPlatform:
		n.platform.Set(link.Condition{})
	case Outage, SilentPlatform, SlowPlatform, LostResponses:
		s.setPlatformFaults(ctx, `{"Delay": "0s"}`)
	case RestoredStore:
		s.put(ctx, "http://"+s.platformAddress+"/admin/restore", fmt.Appendf(nil, `{"Age": "%s"}`, copyLead+step.Duration))
		s.setPlatformFaults(ctx, `{"Delay": "0s"}`)
		// The operator writes again what the platform may have lost.
		_ = s.applyTables(ctx)
	}
}

func (n *node) setLinks(c link.Condition) {
	n.peers.Set(c)
	n.forward.Set(c)
}

// logError prints an error of the soak itself, such as a program that could not be started.
func (s *site) logError(err error) {
	if err != nil {
		fmt.Fprintln(s.settings.Out, "soak:", err)
	}
}

// setTargetFaults sets the faults of a target. A target that is not running is skipped.
func (s *site) setTargetFaults(ctx context.Context, t *target, faults labtarget.Faults) {
	body, err := json.Marshal(faults)
	s.logError(err)
	s.put(ctx, "http://"+t.address+"/admin/faults", body)
}

// setPlatformFaults sets the faults of the platform to those in a JSON object.
func (s *site) setPlatformFaults(ctx context.Context, faults string) {
	s.put(ctx, "http://"+s.platformAddress+"/admin/faults", []byte(faults))
}

func (s *site) put(ctx context.Context, url string, body []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		s.logError(err)
		return
	}
	response, err := s.client.Do(request)
	if err != nil {
		return
	}
	if response.StatusCode >= http.StatusBadRequest {
		fmt.Fprintf(s.settings.Out, "soak: PUT %s: %s\n", url, response.Status)
	}
	_ = response.Body.Close()
}

// acceptedRevision is a revision with the time at which its acceptance was reported.
type acceptedRevision struct {
	revision uint64
	at       time.Time
}

// maxQueuedRevisions bounds the accepted revisions that watch has not read yet.
const maxQueuedRevisions = 1024

var acceptedPattern = regexp.MustCompile(`revision (\d+) is accepted`)

// routeDeadlines are the deadlines of the routes in seconds, used in turn so that each revision differs from the previous one.
var routeDeadlines = []int{5, 6, 7}

// applyTables publishes the next revision of the tables.
func (s *site) applyTables(ctx context.Context) error {
	s.tablesMutex.Lock()
	defer s.tablesMutex.Unlock()
	s.tablesVersion++
	deadline := routeDeadlines[s.tablesVersion%len(routeDeadlines)]
	routes := fmt.Sprintf(`{"Routes": [
	{"Name": "read", "PathPrefix": "/catalogue", "Pool": "shop", "Class": "Lookup", "Deadline": "%ds"},
	{"Name": "order", "PathPrefix": "/orders", "Methods": ["POST"], "Pool": "shop", "Class": "Order", "Deadline": "%ds"}]}`,
		deadline, deadline)
	const pools = `{"Pools": [{"Name": "shop", "Service": "shop", "Floor": 3, "FalseEjectionInterval": "24h"}]}`
	for name, content := range map[string]string{"routes.json": routes, "pools.json": pools} {
		if err := os.WriteFile(s.file(name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	out, err := exec.CommandContext(ctx, s.settings.Jayfold, "tables", "apply", "--platform", "http://"+s.platformAddress,
		"--routes", s.file("routes.json"), "--pools", s.file("pools.json")).Output()
	if err != nil {
		return err
	}
	if found := acceptedPattern.FindSubmatch(out); found != nil {
		revision, err := strconv.ParseUint(string(found[1]), 10, 64)
		if err != nil {
			return err
		}
		s.acceptedRevisions <- acceptedRevision{revision: revision, at: time.Now()}
	}
	return nil
}
