package scenario

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// getWithKey retries a request with an API key until its status matches. The key "none" stands for no key.
func getWithKey(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: getwithkey URL KEY STATUS")
	}
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	var got int
	for deadline := time.Now().Add(retryTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		if got, err = statusWithKey(args[0], args[1]); err == nil && got == want {
			return
		}
	}
	ts.Fatalf("GET %s with key %s: status %d, error %v", args[0], args[1], got, err)
}

func statusWithKey(url, key string) (int, error) {
	r, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	if key != "none" {
		r.Header.Set("Jayfold-Account-Key", key)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
