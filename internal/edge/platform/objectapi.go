package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxObjectBytes bounds a response with one object. The platform's limit for a value is 1 MB.
	maxObjectBytes = 2 << 20
	// maxListBytes bounds a list response. 540 member records of 14 targets each take 1 MB, and a node has 64 MB of memory.
	maxListBytes = 8 << 20
)

const (
	// epochHeader is the header of a response with the epoch of the platform's data. A platform that doesn't send it reports no epoch.
	epochHeader = "Epoch"
	// conditionEpochHeader is the header of a request whose condition holds only in the given epoch.
	conditionEpochHeader = "If-Epoch"
)

// NewStore returns a Store that calls jayfold's own object API. base is the URL of the platform without a path.
func NewStore(base string, client *http.Client) Store {
	o := objectAPI{base: strings.TrimSuffix(base, "/"), http: client}
	return Store{Get: o.get, Watch: o.watch, List: o.list, Put: o.put, Delete: o.delete}
}

// objectAPI implements the calls of a Store over HTTP.
type objectAPI struct {
	base string
	http *http.Client
}

// header returns the request header for the condition. Its name is empty if no condition is set.
func (c Condition) header() (name, value string) {
	switch {
	case !c.Set:
		return "", ""
	case c.Version == 0:
		return "If-None-Match", "*"
	default:
		return "If-Match", strconv.Quote(strconv.FormatUint(c.Version, 10))
	}
}

// wireList is the response to a list call.
type wireList struct {
	Objects []wireObject
}

type wireObject struct {
	Key     string
	Version uint64
	Value   []byte
}

func (o objectAPI) get(ctx context.Context, key string) (Object, error) {
	return o.read(ctx, key, "")
}

// watch waits until the object has another version. If nothing changes it returns the object with its version, but no value.
func (o objectAPI) watch(ctx context.Context, key string, from fleet.Position, wait time.Duration) (Object, error) {
	query := fmt.Sprintf("?after=%d&wait=%s", from.Version, wait)
	if from.Epoch != 0 {
		query += fmt.Sprintf("&epoch=%d", from.Epoch)
	}
	return o.read(ctx, key, query)
}

func (o objectAPI) read(ctx context.Context, key, query string) (Object, error) {
	r, err := o.do(ctx, http.MethodGet, "/"+escape(key)+query, nil, Condition{}, maxObjectBytes)
	if err != nil {
		return Object{}, err
	}
	switch r.status {
	case http.StatusNotFound:
		return Object{Key: key, Epoch: r.epoch}, nil
	case http.StatusOK, http.StatusNotModified:
		version, err := r.version()
		if err != nil {
			return Object{}, CallError{Call: "GET " + key, Epoch: r.epoch, Err: err}
		}
		return Object{Key: key, Epoch: r.epoch, Version: version, Value: r.body}, nil
	default:
		return Object{}, CallError{Call: "GET " + key, Epoch: r.epoch, Err: r.statusError()}
	}
}

var errBadETag = errors.New("the ETag is not a version")

// response is a response of the platform with its whole body.
type response struct {
	status int
	etag   string
	epoch  fleet.Epoch
	body   []byte
}

func (r response) version() (uint64, error) {
	if r.etag == "" && r.status == http.StatusNotModified {
		// The response to a watch on an object that does not exist has no ETag.
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, errBadETag
	}
	return version, nil
}

func (r response) statusError() error {
	return fmt.Errorf("the platform responded with status %d", r.status)
}

func (o objectAPI) list(ctx context.Context, prefix string) (List, error) {
	r, err := o.do(ctx, http.MethodGet, "?prefix="+url.QueryEscape(prefix), nil, Condition{}, maxListBytes)
	if err != nil {
		return List{}, err
	}
	if r.status != http.StatusOK {
		return List{}, CallError{Call: "GET " + prefix + "*", Epoch: r.epoch, Err: r.statusError()}
	}
	var wire wireList
	if err := json.Unmarshal(r.body, &wire); err != nil {
		return List{}, CallError{Call: "GET " + prefix + "*", Epoch: r.epoch, Err: fmt.Errorf("the list does not decode: %w", err)}
	}
	listed := List{Epoch: r.epoch, Objects: make([]Object, 0, len(wire.Objects))}
	for _, w := range wire.Objects {
		listed.Objects = append(listed.Objects, Object{Key: w.Key, Epoch: r.epoch, Version: w.Version, Value: w.Value})
	}
	return listed, nil
}

func (o objectAPI) put(ctx context.Context, key string, value []byte, c Condition) (fleet.Epoch, error) {
	return o.write(ctx, http.MethodPut, key, value, c)
}

func (o objectAPI) delete(ctx context.Context, key string, c Condition) (fleet.Epoch, error) {
	return o.write(ctx, http.MethodDelete, key, nil, c)
}

func (o objectAPI) write(ctx context.Context, method, key string, value []byte, c Condition) (fleet.Epoch, error) {
	r, err := o.do(ctx, method, "/"+escape(key), value, c, maxObjectBytes)
	if err != nil {
		return 0, err
	}
	switch status := r.status; {
	case status >= http.StatusOK && status < http.StatusMultipleChoices, status == http.StatusNotFound && method == http.MethodDelete:
		return r.epoch, nil
	case status == http.StatusPreconditionFailed:
		return 0, CallError{Call: method + " " + key, Epoch: r.epoch, Err: ErrConflict}
	default:
		unknown := status < http.StatusOK || status >= http.StatusInternalServerError
		return 0, CallError{Call: method + " " + key, OutcomeUnknown: unknown, Epoch: r.epoch, Err: r.statusError()}
	}
}

// do makes one call and reads the whole response. A body larger than maxBytes is an error.
func (o objectAPI) do(
	ctx context.Context, method, path string, value []byte, c Condition, maxBytes int64,
) (response, error) {
	call := method + " " + path
	req, err := http.NewRequestWithContext(ctx, method, o.base+"/v1/objects"+path, bytes.NewReader(value))
	if err != nil {
		return response{}, CallError{Call: call, Err: err}
	}
	// A reused connection may be dead. A new one costs 1 ms, and a node makes few calls.
	req.Close = true
	if name, value := c.header(); name != "" {
		req.Header.Set(name, value)
	}
	if c.Epoch != 0 {
		req.Header.Set(conditionEpochHeader, strconv.FormatUint(uint64(c.Epoch), 10))
	}
	write := method != http.MethodGet
	res, err := o.http.Do(req)
	if err != nil {
		return response{}, CallError{Call: call, OutcomeUnknown: write && !isDialError(err), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = fmt.Errorf("the response is larger than %d bytes", maxBytes)
	}
	if err != nil {
		return response{}, CallError{Call: call, OutcomeUnknown: write, Err: err}
	}
	return response{
		status: res.StatusCode, etag: res.Header.Get("ETag"), epoch: parseEpoch(res.Header.Get(epochHeader)), body: body,
	}, nil
}

// parseEpoch returns the epoch in a header of a response; 0 if the header is missing or is not a number.
func parseEpoch(header string) fleet.Epoch {
	epoch, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return 0
	}
	return fleet.Epoch(epoch)
}

// isDialError reports whether err comes from a failed dial, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// escape escapes a key for use in a path, except for its slashes.
func escape(key string) string {
	return strings.ReplaceAll(url.PathEscape(key), "%2F", "/")
}
