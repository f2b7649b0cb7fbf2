package peer

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// The headers and trailers of an answer. Jayfold-Verdict comes last: an answer without it is truncated.
const (
	headerVerdict    = "Jayfold-Verdict"
	headerCause      = "Jayfold-Cause"
	headerDetail     = "Jayfold-Detail"
	headerRetryAfter = "Jayfold-Retry-After" // milliseconds
	headerLoad       = "Jayfold-Load"        // in flight, queued and slots
	headerWait       = "Jayfold-Wait"        // milliseconds
	headerSuspect    = "Jayfold-Suspect"
	headerP95        = "Jayfold-P95" // microseconds
	headerEjected    = "Jayfold-Ejected"
	headerQuarantine = "Jayfold-Quarantine" // fingerprints
)

const (
	maxLoadCount  = 1 << 20
	maxQuarantine = 64
	maxRetryAfter = time.Hour
)

// encodeReport sets the fields of a report under names that start with prefix.
func encodeReport(h http.Header, prefix string, report fleet.Report) {
	load := report.Load
	h.Set(prefix+headerTarget, string(report.Target))
	h.Set(prefix+headerClass, report.Class.String())
	h.Set(prefix+headerLoad, fmt.Sprintf("%d %d %d", load.InFlight, load.Queued, load.Slots))
	h.Set(prefix+headerP95, strconv.FormatInt(report.P95.Microseconds(), 10))
	h.Set(prefix+headerEjected, strconv.FormatBool(report.Ejected))
	h.Set(prefix+headerRevision, strconv.FormatUint(uint64(report.Revision), 10))
	h.Set(prefix+headerSuspect, strconv.FormatBool(report.Suspect))
	h.Set(prefix+headerWait, strconv.FormatInt(report.Wait.Milliseconds(), 10))
	if len(report.Quarantine) > 0 {
		h.Set(prefix+headerQuarantine, joinFingerprints(report.Quarantine))
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
func decodeReport(h http.Header) fleet.Option[fleet.Report] {
	if h.Get(headerLoad) == "" {
		return fleet.Option[fleet.Report]{}
	}
	d := headerDecoder{header: h}
	report := fleet.Report{
		Target:     fleet.TargetID(d.name(headerTarget)),
		Class:      d.class(headerClass),
		Load:       d.load(headerLoad),
		P95:        d.duration(headerP95, time.Microsecond, maxBaseline),
		Ejected:    d.boolean(headerEjected),
		Suspect:    d.boolean(headerSuspect),
		Wait:       d.duration(headerWait, time.Millisecond, maxRetryAfter),
		Revision:   fleet.Revision(d.number(headerRevision, 10)),
		Quarantine: d.fingerprints(headerQuarantine),
	}
	if d.err != nil {
		return fleet.Option[fleet.Report]{}
	}
	return fleet.Some(report)
}

func (d *headerDecoder) load(name string) fleet.Load {
	fields := strings.Fields(d.name(name))
	if len(fields) != 3 {
		d.fail(name, "want three numbers")
		return fleet.Load{}
	}
	var counts [3]int
	for i, field := range fields {
		count, err := strconv.Atoi(field)
		if err != nil || count < 0 || count > maxLoadCount {
			d.fail(name, "want numbers from 0")
		}
		counts[i] = count
	}
	return fleet.Load{InFlight: counts[0], Queued: counts[1], Slots: counts[2]}
}

func (d *headerDecoder) fingerprints(name string) []fleet.Fingerprint {
	fields := strings.Fields(d.header.Get(name))
	if len(fields) > maxQuarantine {
		d.fail(name, "too many fingerprints")
		return nil
	}
	var fingerprints []fleet.Fingerprint
	for _, field := range fields {
		value, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			d.fail(name, "want hexadecimal numbers")
		}
		fingerprints = append(fingerprints, fleet.Fingerprint(value))
	}
	return fingerprints
}

// encodeProblem sets the headers of a refusal.
func encodeProblem(h http.Header, problem fleet.Problem) {
	h.Set(headerVerdict, problem.Verdict.String())
	h.Set(headerCause, string(problem.Cause))
	h.Set(headerDetail, headerText(problem.Detail))
	if problem.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(problem.RetryAfter.Milliseconds(), 10))
	}
}

// decodeProblem reads the headers of a refusal. A duplicate never counts as not run, since the attempt that was seen
// before may have run.
func decodeProblem(h http.Header) (fleet.Problem, bool) {
	cause := fleet.Cause(h.Get(headerCause))
	if cause == "" {
		return fleet.Problem{}, false
	}
	problem := fleet.NewProblem(cause, fleet.ParseVerdict(h.Get(headerVerdict)), h.Get(headerDetail))
	if cause == fleet.Duplicate {
		problem.Verdict = fleet.MayHaveRun
	}
	if h.Get(headerRetryAfter) != "" {
		d := headerDecoder{header: h}
		problem = problem.WithRetryAfter(d.duration(headerRetryAfter, time.Millisecond, maxRetryAfter))
	}
	return problem, true
}

// headerText makes a detail fit for a header.
func headerText(detail string) string {
	clean := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, detail)
	return clean[:min(len(clean), maxNameBytes)]
}

// problemOf returns err as a problem. Any other error counts as a broken connection after which the request may have
// run.
func problemOf(err error) fleet.Problem {
	if problem, ok := errors.AsType[fleet.Problem](err); ok {
		return problem
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}
