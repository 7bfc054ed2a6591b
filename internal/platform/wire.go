package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Paths of the object API.
const (
	ObjectsPath = "/v1/objects/"
	HeadsPath   = "/v1/heads"
	WatchPath   = "/v1/watch/"
	VMsPath     = "/v1/vms"
	StatusPath  = "/v1/status"
)

// Kinds of errors in response bodies.
const (
	kindBadRequest  = "bad-request"
	kindNotFound    = "not-found"
	kindConflict    = "conflict"
	kindTooLarge    = "too-large"
	kindRateLimited = "rate-limited"
	kindUnavailable = "unavailable"
	kindUnknown     = "unknown-outcome"
)

// errorBody is the body of a response with an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind             string `json:"kind"`
	Message          string `json:"message"`
	Version          uint64 `json:"version,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

type versionBody struct {
	Version uint64 `json:"version"`
}

type headsBody struct {
	Heads []Head `json:"heads"`
}

type vmsBody struct {
	VMs []core.ListedVM `json:"vms"`
}

// WriteObject writes the response to a GET or watch of an object.
func WriteObject(w http.ResponseWriter, o Object) {
	if o.Version == 0 {
		writeError(w, http.StatusNotFound, errorDetail{Kind: kindNotFound, Message: o.Key + " does not exist"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", formatETag(o.Version))
	w.Header().Set("Content-Length", strconv.Itoa(len(o.Value)))
	_, _ = w.Write(o.Value)
}

// WriteVersion writes the response to a PUT.
func WriteVersion(w http.ResponseWriter, version uint64) {
	writeJSON(w, http.StatusOK, versionBody{version})
}

// WriteHeads writes the response to a request for the versions of objects.
func WriteHeads(w http.ResponseWriter, heads []Head) { writeJSON(w, http.StatusOK, headsBody{heads}) }

// WriteVMs writes the response to a request for the list of VMs.
func WriteVMs(w http.ResponseWriter, vms []core.ListedVM) { writeJSON(w, http.StatusOK, vmsBody{vms}) }

// WriteStatus writes the response to a request for an entry VM's status.
func WriteStatus(w http.ResponseWriter, s Status) { writeJSON(w, http.StatusOK, s) }

// WriteError writes a response with an error of this package. Any other error is sent as a bad request.
func WriteError(w http.ResponseWriter, err error) {
	var (
		conflict    *ConflictError
		tooLarge    *TooLargeError
		limited     *RateLimitedError
		unavailable *UnavailableError
		unknown     *UnknownOutcomeError
	)
	e := errorDetail{Message: err.Error()}
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &conflict):
		status, e.Kind, e.Version = http.StatusPreconditionFailed, kindConflict, conflict.Version
	case errors.As(err, &tooLarge):
		status, e.Kind = http.StatusRequestEntityTooLarge, kindTooLarge
	case errors.As(err, &limited):
		status, e.Kind = http.StatusTooManyRequests, kindRateLimited
		e.RetryAfterMillis = limited.RetryAfter.Milliseconds()
		seconds := int64((limited.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	case errors.As(err, &unavailable):
		status, e.Kind = http.StatusServiceUnavailable, kindUnavailable
	case errors.As(err, &unknown):
		status, e.Kind = http.StatusGatewayTimeout, kindUnknown
	default:
		e.Kind = kindBadRequest
	}
	writeError(w, status, e)
}

// ReadCondition returns the version in the If-Match header of a PUT. conditional is false when the header
// is missing.
func ReadCondition(r *http.Request) (version uint64, conditional bool, err error) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return 0, false, nil
	}
	version, err = parseETag(tag)
	return version, true, err
}

func writeError(w http.ResponseWriter, status int, e errorDetail) { writeJSON(w, status, errorBody{e}) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func formatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(tag string) (uint64, error) {
	digits := strings.TrimSuffix(strings.TrimPrefix(tag, `"`), `"`)
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || formatETag(version) != tag {
		return 0, &BadRequestError{Op: "read version", Message: "the version is not a number in quotes: " + tag}
	}
	return version, nil
}
