package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// maxStatusBytes is the maximum size of a status. That of 540 members with 7,800 targets is about 2 MB.
	maxStatusBytes = 16 << 20
	// maxRows is the maximum number of rows per table, so that the text fits on one screen. A last line counts the omitted rows.
	maxRows = 12
)

// PrintStatus reads the status of the node that serves operators at the given address and prints it as JSON or as text.
func PrintStatus(ctx context.Context, w io.Writer, address string, asJSON bool) error {
	content, err := readStatus(ctx, address)
	if err != nil {
		return err
	}
	if asJSON {
		_, err = w.Write(content)
		return err
	}
	var s status
	if err := json.Unmarshal(content, &s); err != nil {
		return fmt.Errorf("operator: decoding the status of %s: %w", address, err)
	}
	_, err = io.WriteString(w, s.text())
	return err
}

func readStatus(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("operator: %s responded with %s: %s", address, response.Status, strings.TrimSpace(string(content)))
	}
	return content, nil
}

// text formats the status so that it fits on one screen.
func (s status) text() string {
	var b strings.Builder
	s.writeNode(&b)
	writeTable(&b, "SERVICE\tPOOL\tIN SERVICE\tKNOWN\tFLOOR\t", s.Services, service.row)
	writeTable(&b, "EJECTED\tPOOL\tNODE\tEVIDENCE", s.ejected(), targetRow.row)
	writeTable(&b, "DRAINING\tPOOL\tNODE\t", s.draining(), targetRow.row)
	writeTable(&b, "QUARANTINED\tUNTIL", s.Quarantined, quarantined.row)
	writeTable(&b, "RATE LIMITS OF SHARD\tTOKENS FROM\tSHARES\tOF", s.RateLimits, rateLimit.row)
	return b.String()
}

func (s status) writeNode(b *strings.Builder) {
	state := "serving"
	if s.Revision == 0 {
		state = "waiting for tables"
	}
	if s.Draining {
		state = "leaving"
	}
	counts := make(map[string]int)
	for _, m := range s.Members {
		counts[m.Status]++
	}
	fmt.Fprintf(b, "Node      %s in %s, %s, %d in flight\n", s.Node, s.AvailabilityZone, state, s.InFlight)
	fmt.Fprintf(b, "Revision  %d here, %d newest seen, platform %s%s%s\n",
		s.Revision, s.NewestRevision, strings.ToLower(s.Platform), s.epochText(), s.unreadText())
	if s.Accounts > 0 || s.UnusableAccounts > 0 {
		fmt.Fprintf(b, "Accounts  %d in force, %d unusable\n", s.Accounts, s.UnusableAccounts)
	}
	fmt.Fprintf(b, "Members   %d alive, %d suspect, %d leaving, %d dead\n",
		counts["Alive"], counts["Suspect"], counts["Leaving"], counts["Dead"])
}

// epochText tells the epoch of the platform's data if it is known.
func (s status) epochText() string {
	if s.Epoch == 0 {
		return ""
	}
	return fmt.Sprintf(" in epoch %d", s.Epoch)
}

// unreadText tells how many parts of the revision the node cannot read, with the first of them.
func (s status) unreadText() string {
	if len(s.Unread) == 0 {
		return ""
	}
	return fmt.Sprintf(", %d unread: %s", len(s.Unread), s.Unread[0])
}

// targetRow is a table row for an ejected or draining target of the fleet.
type targetRow struct {
	name, pool, node, detail string
}

func (r targetRow) row() string {
	return fmt.Sprintf("%s\t%s\t%s\t%s", r.name, r.pool, r.node, r.detail)
}

// ejected returns the ejected targets of the fleet. The status contains the evidence only for the targets on the node's host.
func (s status) ejected() []targetRow {
	local := make(map[string]target, len(s.Targets))
	for _, t := range s.Targets {
		local[t.Target] = t
	}
	var list []targetRow
	for _, m := range s.Members {
		for _, t := range m.Targets {
			if !t.Ejected {
				continue
			}
			detail := "see the status of " + m.Node
			if l, ok := local[t.Target]; ok {
				detail = l.Evidence.text()
			}
			list = append(list, targetRow{t.Target, t.Pool, m.Node, detail})
		}
	}
	return list
}

// draining returns the targets that accept no new requests because they are draining or their nodes are leaving.
func (s status) draining() []targetRow {
	var list []targetRow
	for _, m := range s.Members {
		for _, t := range m.Targets {
			if t.State == "Draining" || m.Status == "Leaving" {
				list = append(list, targetRow{t.Target, t.Pool, m.Node, ""})
			}
		}
	}
	return list
}

func (e evidence) text() string {
	return fmt.Sprintf("%d of %d requests bad, score %.1f, baseline %s", e.Bad, e.Judged, e.Score, e.Baseline)
}

// row formats the table row and marks a pool that has fewer targets in service than its floor.
func (s service) row() string {
	mark := ""
	if s.InService < s.Floor {
		mark = "below the floor"
	}
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s", s.Service, s.Pool, s.InService, s.Known, s.Floor, mark)
}

func (q quarantined) row() string {
	return fmt.Sprintf("%016x\t%s", q.Fingerprint, q.Until.Format(time.TimeOnly))
}

func (r rateLimit) row() string {
	source := r.Allocator
	if source == "" {
		source = "this node"
	}
	return fmt.Sprintf("%d\t%s\t%d\t%d", r.Shard, source, r.Shares, r.Members)
}

// writeTable writes a blank line and a table whose rows are formatted by format. It writes nothing if there are no rows.
func writeTable[R any](b *strings.Builder, header string, rows []R, format func(R) string) {
	if len(rows) == 0 {
		return
	}
	b.WriteString("\n")
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, header)
	for _, row := range rows[:min(len(rows), maxRows)] {
		_, _ = fmt.Fprintln(table, format(row))
	}
	_ = table.Flush()
	if len(rows) > maxRows {
		fmt.Fprintf(b, "and %d more\n", len(rows)-maxRows)
	}
}
