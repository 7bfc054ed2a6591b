// Package platform is the client of the platform's object API. Entry VMs offer part of the same API
// on their HTTP port (see Proxy), so that the client works with both.
//
// The only state of the package is the rate limit and the connections of its clients. A Client is safe for
// concurrent use.
//
// # HTTP API
//
// All paths are relative to the base URL. Values of objects are opaque bytes of at most MaxValueSize, sent
// as request and response bodies. All other bodies are JSON. A key has at most 250 characters and consists
// of segments of letters, digits, '.', '-' and '_', separated by '/'; no segment is "." or "..". Versions
// count from 1 for each object; version 0 means that the object does not exist.
//
//	GET  /v1/objects/{key}      200, the value; header ETag: "<version>". 404 when there is none.
//	PUT  /v1/objects/{key}      Body: the value. Header If-Match: "<version>" makes the write
//	                            conditional; "0" creates the object. Without If-Match the write is
//	                            unconditional. 200 {"version": 8}.
//	                            Each write raises the version by one.
//	GET  /v1/heads?key=a&key=b  200 {"heads": [{"key": "a", "version": 7}, ...]} in the order of the
//	                            keys, of which there are at most MaxHeads.
//	GET  /v1/watch/{key}?after=7&waitMillis=20000
//	                            The response of GET of the object, as soon as its version is above
//	                            7, or 204 if waitMillis, at most MaxWatch, pass first.
//	GET  /v1/vms                200 {"vms": [{"name", "zone", "addr", "leaving"}, ...]}; the list
//	                            may be out of date.
//	GET  /v1/status             Entry VMs only. 200 {"generation": 7, "vms": [{"name", "zone",
//	                            "generation", "state", "heardMillis"}, ...]}.
//
// Errors have a status of 400 or above and the body
//
//	{"error": {"kind": "conflict", "message": "...", "version": 8, "retryAfterMillis": 100}}
//
// with one of these kinds; version and retryAfterMillis are present where they apply:
//
//	400 bad-request      the call is malformed
//	404 not-found        the object does not exist
//	412 conflict         the version differs from If-Match; version is the current one
//	413 too-large        the value exceeds MaxValueSize
//	429 rate-limited     nothing was done; retryAfterMillis is the time to wait before a retry
//	503 unavailable      nothing was done
//	504 unknown-outcome  the call may have taken effect
//
// Entry VMs offer GET and PUT of /v1/objects/ and GET /v1/status.
package platform
