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
	// patience is how long a request is repeated. Configurations are in force within 6 s and targets removed within 3 s.
	patience = 15 * time.Second
	// pace is the time between two tries.
	pace = 100 * time.Millisecond
	// answerWait bounds one try.
	answerWait = 6 * time.Second
)

var client = &http.Client{Timeout: answerWait, Transport: &http.Transport{DisableKeepAlives: true}}

func waitFor(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: waitfor URL")
	}
	request(http.MethodGet)(ts, neg, []string{args[0], "200"})
}

// request repeats a request until its status and body are as expected, and writes the body to last.body.
func request(method string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		if len(args) < 2 || len(args) > 3 {
			ts.Fatalf("usage: %s URL STATUS [TEXT]", method)
		}
		status, err := strconv.Atoi(args[1])
		ts.Check(err)
		text := regexp.MustCompile("")
		if len(args) == 3 {
			text = regexp.MustCompile(args[2])
		}
		var got int
		var body []byte
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pace) {
			got, body, err = try(method, args[0], filepath.Join(held(ts).dir, "body"))
			if err == nil && got == status && text.Match(body) {
				ts.Check(os.WriteFile(filepath.Join(held(ts).dir, "last.body"), body, 0o600))
				return
			}
		}
		ts.Fatalf("%s %s: status %d, error %v, body %s", method, args[0], got, err, body)
	}
}

// try sends one request. Other than with GET, the body is that of the given file, if it exists.
func try(method, url, file string) (int, []byte, error) {
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
