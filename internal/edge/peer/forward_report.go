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

// The headers and trailers of a response. Jayfold-Verdict is sent last: a response without it is truncated. Jayfold-Load packs
// the values of a report that differ between responses, and Jayfold-Report packs most of the others.
const (
	headerVerdict       = "Jayfold-Verdict"
	headerProblem       = "Jayfold-Problem"    // cause and retry delay in milliseconds
	headerDetail        = "Jayfold-Detail"     // free text
	headerLoad          = "Jayfold-Load"       // in flight, queued, slots, expected wait in milliseconds and p95 in microseconds
	headerReport        = "Jayfold-Report"     // target, class, ejected, health and revision
	headerBudgetCharged = "Jayfold-Lent"       // present if the target charged the attempt to its share of the retry budget
	headerQuarantine    = "Jayfold-Quarantine" // fingerprints
	headerCost          = "Jayfold-Cost"       // mean run time of the class in microseconds; present if targets are placed by cost
	headerEcho          = "Jayfold-Echo"       // hash of the attempt's id
)

const (
	maxLoadCount  = 1 << 20
	maxQuarantine = 64
	maxRetryAfter = time.Hour
	// echoMask keeps 31 bits, which take at most 6 characters. A response to another attempt is mistaken for the right one
	// with a probability of 1 in 2e9.
	echoMask = 1<<31 - 1
)

// encodeReport sets the headers of a report. Each header name is preceded by prefix.
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
	if report.MeanTime > 0 {
		h.Set(prefix+headerCost, strconv.FormatInt(report.MeanTime.Microseconds(), 10))
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

// decodeReport reads the report of a response. The result is empty if the report is absent or malformed.
func decodeReport(h http.Header) fleet.Option[fleet.TargetReport] {
	if h.Get(headerLoad) == "" {
		return fleet.Option[fleet.TargetReport]{}
	}
	d := headerDecoder{header: h}
	loadFields := d.unpack(headerLoad, "running", "queued", "slots", "wait", "p95")
	reportFields := d.unpack(headerReport, "target", "class", "ejected", "health", "revision")
	report := fleet.TargetReport{
		Load:          fleet.Load{InFlight: d.count(loadFields[0]), Queued: d.count(loadFields[1]), Slots: d.count(loadFields[2])},
		ExpectedWait:  d.duration(loadFields[3], time.Millisecond, maxRetryAfter),
		P95:           d.duration(loadFields[4], time.Microsecond, maxBaseline),
		Target:        fleet.TargetID(d.requiredName(reportFields[0])),
		Class:         d.class(reportFields[1]),
		Ejected:       d.boolean(reportFields[2]),
		Health:        d.health(reportFields[3]),
		BudgetCharged: h.Get(headerBudgetCharged) != "",
		Revision:      fleet.Revision(d.number(reportFields[4], 10)),
		Quarantined:   d.fingerprints(headerQuarantine),
	}
	if mean := d.optionalValue(headerCost); mean != "" {
		report.MeanTime = d.duration(field{name: headerCost, value: mean}, time.Microsecond, maxBaseline)
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

// decodeProblem reads the headers of a refusal. It returns false if the response is not a refusal. The verdict of a duplicate is
// always MayHaveRun, since the first copy of the attempt may have run.
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

// echoValue returns the value of headerEcho: a hash of the attempt's id that is shorter than the id and distinguishes the
// attempts on a connection.
func echoValue(id fleet.AttemptID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(id))&echoMask, 36)
}

// sanitizeDetail replaces the characters that a header cannot carry and limits the length.
func sanitizeDetail(detail string) string {
	clean := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, detail)
	return clean[:min(len(clean), maxNameBytes)]
}

// problemOf returns err as a fleet.Problem. Any other error is treated as a broken connection after which the request may have
// run.
func problemOf(err error) fleet.Problem {
	if problem, ok := errors.AsType[fleet.Problem](err); ok {
		return problem
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}
