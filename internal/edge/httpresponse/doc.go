// Package httpresponse reads HTTP/1 responses. It accepts only heads that the grammar of HTTP allows: net/http normalizes or
// passes on some others, whose meaning to the next reader may be another one.
//
// # Usage
//
//	reader := httpresponse.NewReader(conn)
//	response, err := reader.ReadResponse(request)
//
// A client of net/http checks the heads of its connections, which carry one response each, with
//
//	transport := &http.Transport{DialContext: httpresponse.CheckedDial(dialer.DialContext)}
//
// A body without a length ends with its connection. EndedCleanly reports whether that end can be relied on.
package httpresponse
