package hostile

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkOrdinaryRequest measures the processor time that the node's process, which is ingress and sidecar here, spends on a small request.
// To compare two versions, run it with both in turn.
func BenchmarkOrdinaryRequest(b *testing.B) {
	const callers = 4
	n := startNode(b, "")
	url := "http://" + n.callers + "/orders"
	b.ResetTimer()
	before := n.processorTime()
	var sending sync.WaitGroup
	for range callers {
		sending.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range b.N / callers {
				response, err := client.Post(url, "text/plain", strings.NewReader("order"))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Errorf("status %d", response.StatusCode)
					return
				}
			}
		})
	}
	sending.Wait()
	b.ReportMetric(float64(n.processorTime()-before)/float64(b.N/callers*callers), "node-cpu-ns/op")
}

// processorTime returns the processor time of the node's process. The kernel counts it in hundredths of a second.
func (n *node) processorTime() time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.process.Process.Pid))
	if err != nil {
		n.t.Fatal(err)
	}
	// The fields after the name of the program, which is in parentheses, start with the third.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
