package apicall

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against large responses that fail over a slow link however often they are requested, and against calls that
// wait for a response which has stopped (issue 21).
func TestTimeoutAppliesToProgress(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for _, test := range []struct {
		name string
		// parts is the number of parts of the response, one each interval.
		parts    int
		interval time.Duration
		complete bool
	}{
		{"a response that arrives slowly", 10, timeout / 4, true},
		{"a response that stops", 2, 3 * timeout, false},
		{"a response that never ends", 100, timeout / 4, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for range test.parts {
				_, _ = w.Write([]byte("x"))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(test.interval):
				case <-r.Context().Done():
					return
				}
			}
		}))
		client, err := New(server.URL, Options{Timeout: timeout, Attempts: 1})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		response, err := client.Do(t.Context(), Call{
			Op: "read", Method: http.MethodGet, Path: "/", MaxBody: 1000, CheckResponse: func(*Response) error { return nil },
		})
		took := time.Since(began)
		var incomplete *IncompleteResponseError
		switch {
		case test.complete && (err != nil || len(response.Body) != test.parts):
			t.Errorf("%s: %v", test.name, err)
		case !test.complete && (!errors.As(err, &incomplete) || incomplete.Bytes == 0):
			t.Errorf("%s: error %v, want that the response is incomplete", test.name, err)
		case !test.complete && took > (maxBodyTimeouts+3)*timeout:
			t.Errorf("%s: took %s", test.name, took)
		}
		server.Close()
	}
}
