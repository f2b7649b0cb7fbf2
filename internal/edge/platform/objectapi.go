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
)

const (
	// maxObjectBytes is above the platform's limit of 1 MB for a value.
	maxObjectBytes = 2 << 20
	// maxListBytes is above the size of 540 member records of 14 targets each.
	maxListBytes = 32 << 20
)

// NewStore returns the calls of jayfold's own object API, at the URL of the platform without a path.
func NewStore(base string, client *http.Client) Store {
	o := objectAPI{base: strings.TrimSuffix(base, "/"), http: client}
	return Store{Get: o.get, Watch: o.watch, List: o.list, Put: o.put, Delete: o.remove}
}

// objectAPI makes the calls of the object API.
type objectAPI struct {
	base string
	http *http.Client
}

// header returns the request header of a condition, with an empty name for none.
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

// wireList is the answer of a list.
type wireList struct {
	Objects []wireObject
}

type wireObject struct {
	Key     string
	Version uint64
	Value   []byte
}

// get reads an object.
func (o objectAPI) get(ctx context.Context, key string) (Object, error) {
	return o.read(ctx, key, "")
}

// watch waits until the object has another version. It returns the object with that version and no value when nothing
// changed.
func (o objectAPI) watch(ctx context.Context, key string, version uint64, hold WatchOptions) (Object, error) {
	query := fmt.Sprintf("?after=%d&wait=%s", version, hold.Wait)
	if hold.MayBeStale {
		query += "&stale=1"
	}
	return o.read(ctx, key, query)
}

func (o objectAPI) read(ctx context.Context, key, query string) (Object, error) {
	a, err := o.do(ctx, http.MethodGet, "/"+escape(key)+query, nil, Condition{}, maxObjectBytes)
	if err != nil {
		return Object{}, err
	}
	switch a.status {
	case http.StatusNotFound:
		return Object{Key: key}, nil
	case http.StatusOK, http.StatusNotModified:
		version, err := a.version()
		if err != nil {
			return Object{}, CallError{Call: "GET " + key, Err: err}
		}
		return Object{Key: key, Version: version, Value: a.body}, nil
	default:
		return Object{}, CallError{Call: "GET " + key, Err: a.statusError()}
	}
}

// response is a whole response of the platform.
type response struct {
	status     int
	statusText string
	etag       string
	body       []byte
}

func (a response) version() (uint64, error) {
	if a.etag == "" && a.status == http.StatusNotModified {
		// A watch on an object that does not exist has no version to name.
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(a.etag, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, fmt.Errorf("the ETag %q is not a version", a.etag)
	}
	return version, nil
}

func (a response) statusError() error { return errors.New("the platform answered " + a.statusText) }

// list reads all objects whose keys begin with prefix.
func (o objectAPI) list(ctx context.Context, prefix string) ([]Object, error) {
	a, err := o.do(ctx, http.MethodGet, "?prefix="+url.QueryEscape(prefix), nil, Condition{}, maxListBytes)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, CallError{Call: "GET " + prefix + "*", Err: a.statusError()}
	}
	var wire wireList
	if err := json.Unmarshal(a.body, &wire); err != nil {
		return nil, CallError{Call: "GET " + prefix + "*", Err: fmt.Errorf("the list does not decode: %w", err)}
	}
	listed := make([]Object, 0, len(wire.Objects))
	for _, w := range wire.Objects {
		listed = append(listed, Object(w))
	}
	return listed, nil
}

// put writes an object. A condition that does not hold is ErrConflict.
func (o objectAPI) put(ctx context.Context, key string, value []byte, c Condition) error {
	return o.write(ctx, http.MethodPut, key, value, c)
}

// remove deletes an object. One that is gone already is no error.
func (o objectAPI) remove(ctx context.Context, key string, c Condition) error {
	return o.write(ctx, http.MethodDelete, key, nil, c)
}

func (o objectAPI) write(ctx context.Context, method, key string, value []byte, c Condition) error {
	a, err := o.do(ctx, method, "/"+escape(key), value, c, maxObjectBytes)
	if err != nil {
		return err
	}
	switch status := a.status; {
	case status < http.StatusMultipleChoices, status == http.StatusNotFound && method == http.MethodDelete:
		return nil
	case status == http.StatusPreconditionFailed:
		return CallError{Call: method + " " + key, Err: ErrConflict}
	default:
		unknown := status >= http.StatusInternalServerError
		return CallError{Call: method + " " + key, OutcomeUnknown: unknown, Err: a.statusError()}
	}
}

// do makes one call and reads the whole answer.
func (o objectAPI) do(
	ctx context.Context, method, path string, value []byte, c Condition, most int64,
) (response, error) {
	call := method + " " + path
	req, err := http.NewRequestWithContext(ctx, method, o.base+"/v1/objects"+path, bytes.NewReader(value))
	if err != nil {
		return response{}, CallError{Call: call, Err: err}
	}
	// An open connection can have gone silent. A new one costs 1 ms, and a node makes few calls.
	req.Close = true
	if name, value := c.header(); name != "" {
		req.Header.Set(name, value)
	}
	write := method != http.MethodGet
	res, err := o.http.Do(req)
	if err != nil {
		return response{}, CallError{Call: call, OutcomeUnknown: write && !isDialError(err), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = fmt.Errorf("the answer is larger than %d bytes", most)
	}
	if err != nil {
		return response{}, CallError{Call: call, OutcomeUnknown: write, Err: err}
	}
	return response{status: res.StatusCode, statusText: res.Status, etag: res.Header.Get("ETag"), body: body}, nil
}

// isDialError reports whether no connection came about, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// escape escapes a key for a path and keeps its slashes.
func escape(key string) string {
	return strings.ReplaceAll(url.PathEscape(key), "%2F", "/")
}
