package platform

import (
	"context"
	"io"
	"net/http"
)

// Store reads and writes objects. *Client implements it.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
}

// Proxy returns the handler of an entry VM for ObjectsPath. It forwards GET and conditional PUT of single
// objects to store and keeps no state. PUT without a condition is refused, because an operator must never
// overwrite a version of an object without having read it.
func Proxy(store Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ObjectsPath+"{key...}", func(w http.ResponseWriter, r *http.Request) {
		o, err := store.Get(r.Context(), r.PathValue("key"))
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteObject(w, o)
	})
	mux.HandleFunc("PUT "+ObjectsPath+"{key...}", func(w http.ResponseWriter, r *http.Request) {
		proxyPut(w, r, store)
	})
	return mux
}

func proxyPut(w http.ResponseWriter, r *http.Request, store Store) {
	key := r.PathValue("key")
	expect, conditional, err := ReadCondition(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	if !conditional {
		WriteError(w, &BadRequestError{Op: "write " + key, Message: "If-Match is missing"})
		return
	}
	value, err := ReadValue(r, key)
	if err != nil {
		WriteError(w, err)
		return
	}
	version, err := store.Put(r.Context(), key, value, expect)
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteVersion(w, version)
}

// ReadValue reads the value of a PUT. Errors: BadRequestError when the body is incomplete, TooLargeError
// when it exceeds MaxValueSize.
func ReadValue(r *http.Request, key string) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueSize+1))
	if err != nil {
		return nil, &BadRequestError{Op: "write " + key, Message: "the value is incomplete"}
	}
	if len(value) > MaxValueSize {
		return nil, &TooLargeError{Key: key, Size: max(len(value), int(r.ContentLength)), Limit: MaxValueSize}
	}
	return value, nil
}
