package scenario

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// retryTimeout is how long a request is retried. A new revision is in force within 6 s, a dead target removed within 3 s.
	retryTimeout = 15 * time.Second
	// retryInterval is the time between two requests or checks.
	retryInterval = 100 * time.Millisecond
	// requestTimeout limits a single request.
	requestTimeout = 6 * time.Second
)

var client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func waitFor(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: waitfor URL")
	}
	requestUntil(http.MethodGet)(ts, neg, []string{args[0], "200"})
}

// requestUntil returns a command that retries a request until its status and body match, and writes the body to last.body.
func requestUntil(method string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		if len(args) < 2 || len(args) > 3 {
			ts.Fatalf("usage: %s URL STATUS [REGEXP]", method)
		}
		status, err := strconv.Atoi(args[1])
		ts.Check(err)
		pattern := regexp.MustCompile("")
		if len(args) == 3 {
			pattern = regexp.MustCompile(args[2])
		}
		var got int
		var body []byte
		for deadline := time.Now().Add(retryTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
			got, body, err = sendOnce(method, args[0], filepath.Join(processesOf(ts).dir, "body"))
			if err == nil && got == status && pattern.Match(body) {
				ts.Check(os.WriteFile(filepath.Join(processesOf(ts).dir, "last.body"), body, 0o600))
				return
			}
		}
		ts.Fatalf("%s %s: status %d, error %v, body %s", method, args[0], got, err, body)
	}
}

// sendOnce sends one request. Unless the method is GET, the request has the content of the given file as its body, if the file
// exists.
func sendOnce(method, url, file string) (int, []byte, error) {
	var content []byte
	if method != http.MethodGet {
		content, _ = os.ReadFile(file)
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
