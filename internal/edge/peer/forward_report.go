package peer

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// The headers and trailers of an answer. Jayfold-Verdict comes last: an answer without it is truncated. The report has
// what differs in every answer in one header, and the rest in another.
const (
	headerVerdict       = "Jayfold-Verdict"
	headerProblem       = "Jayfold-Problem"    // cause and time after which to try again, in milliseconds
	headerDetail        = "Jayfold-Detail"     // free text
	headerLoad          = "Jayfold-Load"       // in flight, queued, slots, wait in milliseconds and p95 in microseconds
	headerReport        = "Jayfold-Report"     // target, class, whether ejected, health and revision
	headerBudgetCharged = "Jayfold-Lent"       // there where the target has lent a part of its retry budget
	headerQuarantine    = "Jayfold-Quarantine" // fingerprints
	headerEcho          = "Jayfold-Echo"       // of the attempt's id
)

const (
	maxLoadCount  = 1 << 20
	maxQuarantine = 64
	maxRetryAfter = time.Hour
	// echoMask keeps 31 bits, which are at most 6 characters. An answer that belongs to another attempt is taken for the
	// right one once in 2e9.
	echoMask = 1<<31 - 1
)

// encodeReport sets the fields of a report under names that start with prefix.
func encodeReport(h http.Header, prefix string, report fleet.TargetReport) {
	load := report.Load
	h.Set(prefix+headerLoad, packFields(
		strconv.Itoa(load.InFlight),
		strconv.Itoa(load.Queued),
		strconv.Itoa(load.Slots),
		strconv.FormatInt(report.ExpectedWait.Milliseconds(), 10),
		strconv.FormatInt(report.P95.Microseconds(), 10),
	))
	h.Set(prefix+headerReport, packFields(
		string(report.Target),
		report.Class.String(),
		strconv.FormatBool(report.Ejected),
		report.Health.String(),
		strconv.FormatUint(uint64(report.Revision), 10),
	))
	if report.BudgetCharged {
		h.Set(prefix+headerBudgetCharged, strconv.FormatBool(true))
	}
	if len(report.Quarantined) > 0 {
		h.Set(prefix+headerQuarantine, joinFingerprints(report.Quarantined))
	}
}

func joinFingerprints(fingerprints []fleet.Fingerprint) string {
	fields := make([]string, 0, min(len(fingerprints), maxQuarantine))
	for _, f := range fingerprints[:min(len(fingerprints), maxQuarantine)] {
		fields = append(fields, fmt.Sprintf("%016x", uint64(f)))
	}
	return strings.Join(fields, " ")
}

// decodeReport reads the report of an answer. It is absent when the answer has none or it is malformed.
func decodeReport(h http.Header) fleet.Option[fleet.TargetReport] {
	if h.Get(headerLoad) == "" {
		return fleet.Option[fleet.TargetReport]{}
	}
	d := headerDecoder{header: h}
	own := d.unpack(headerLoad, "running", "queued", "slots", "wait", "p95")
	shared := d.unpack(headerReport, "target", "class", "ejected", "health", "revision")
	report := fleet.TargetReport{
		Load:          fleet.Load{InFlight: d.count(own[0]), Queued: d.count(own[1]), Slots: d.count(own[2])},
		ExpectedWait:  d.duration(own[3], time.Millisecond, maxRetryAfter),
		P95:           d.duration(own[4], time.Microsecond, maxBaseline),
		Target:        fleet.TargetID(d.requiredName(shared[0])),
		Class:         d.class(shared[1]),
		Ejected:       d.boolean(shared[2]),
		Health:        d.health(shared[3]),
		BudgetCharged: h.Get(headerBudgetCharged) != "",
		Revision:      fleet.Revision(d.number(shared[4], 10)),
		Quarantined:   d.fingerprints(headerQuarantine),
	}
	if d.err != nil {
		return fleet.Option[fleet.TargetReport]{}
	}
	return fleet.Some(report)
}

func (d *headerDecoder) count(f field) int {
	count := d.number(f, 10)
	if count > maxLoadCount {
		d.fail(f, fmt.Sprintf("want at most %d", maxLoadCount))
		return 0
	}
	return int(count)
}

func (d *headerDecoder) fingerprints(name string) []fleet.Fingerprint {
	header := field{name: name}
	words := strings.Fields(d.header.Get(name))
	if len(words) > maxQuarantine {
		d.fail(header, "too many fingerprints")
		return nil
	}
	var fingerprints []fleet.Fingerprint
	for _, word := range words {
		header.value = word
		fingerprints = append(fingerprints, fleet.Fingerprint(d.number(header, 16)))
	}
	return fingerprints
}

// encodeProblem sets the headers of a refusal.
func encodeProblem(h http.Header, problem fleet.Problem) {
	h.Set(headerVerdict, problem.Verdict.String())
	h.Set(headerProblem, packFields(string(problem.Cause), strconv.FormatInt(problem.RetryAfter.Milliseconds(), 10)))
	if problem.Detail != "" {
		h.Set(headerDetail, sanitizeDetail(problem.Detail))
	}
}

// decodeProblem reads the headers of a refusal. A duplicate never counts as not run, since the attempt that was seen
// before may have run.
func decodeProblem(h http.Header) (fleet.Problem, bool) {
	if h.Get(headerProblem) == "" {
		return fleet.Problem{}, false
	}
	d := headerDecoder{header: h}
	fields := d.unpack(headerProblem, "cause", "retry after")
	cause := fleet.Cause(d.requiredName(fields[0]))
	problem := fleet.NewProblem(cause, fleet.ParseVerdict(h.Get(headerVerdict)), h.Get(headerDetail))
	problem = problem.WithRetryAfter(d.duration(fields[1], time.Millisecond, maxRetryAfter))
	if d.err != nil {
		return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, d.err.Error()), true
	}
	if cause == fleet.Duplicate {
		problem.Verdict = fleet.MayHaveRun
	}
	return problem, true
}

// echoValue returns what an answer says of the attempt that it belongs to: enough to tell it from the others on the
// connection, and shorter than the id.
func echoValue(id fleet.AttemptID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(id))&echoMask, 36)
}

// sanitizeDetail makes a detail fit for a header.
func sanitizeDetail(detail string) string {
	clean := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, detail)
	return clean[:min(len(clean), maxNameBytes)]
}

// asProblem returns err as a problem. Any other error counts as a broken connection after which the request may have
// run.
func asProblem(err error) fleet.Problem {
	if problem, ok := errors.AsType[fleet.Problem](err); ok {
		return problem
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}
