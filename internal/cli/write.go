package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// maxWriteAttempts bounds how often a write is sent when its responses are lost.
const maxWriteAttempts = 3

// writeManifest writes a manifest on condition that inForce is still in force, and returns the new
// generation. The error is a *platform.ConflictError when another generation was accepted instead, and a
// *platform.UnknownOutcomeError when the outcome cannot be determined.
func writeManifest(ctx context.Context, store platform.Store, inForce contract.StoredManifest, text []byte) (core.Generation, error) {
	nonce := rand.Text()
	stored, err := contract.AddGenerated(inForce, text, nonce, time.Now())
	if err != nil {
		return 0, err
	}
	expect := uint64(inForce.Generation)
	for attempt := 1; ; attempt++ {
		version, writeErr := store.Put(ctx, platform.ManifestKey, stored, expect)
		var unknown *platform.UnknownOutcomeError
		var conflict *platform.ConflictError
		switch {
		case writeErr == nil:
			return core.Generation(version), nil
		case attempt == 1 && !errors.As(writeErr, &unknown):
			return 0, writeErr
		case !errors.As(writeErr, &unknown) && !errors.As(writeErr, &conflict):
			// An earlier attempt may have taken effect.
			return 0, &platform.UnknownOutcomeError{Op: "apply", Err: writeErr}
		}
		gen, decided, err := readBack(ctx, store, inForce.Generation, nonce)
		if decided || err != nil {
			return gen, err
		}
		// The write may still be in progress, so an unchanged manifest does not prove that it failed.
		// The write is repeated with the same condition, so at most one of the attempts takes effect.
		if attempt == maxWriteAttempts {
			return 0, &platform.UnknownOutcomeError{Op: "apply", Err: writeErr}
		}
	}
}

// readBack determines whether the write with the given nonce, which was conditional on expect, took effect.
// decided is true when this or another write with the same condition took effect.
func readBack(ctx context.Context, store platform.Store, expect core.Generation, nonce string) (gen core.Generation, decided bool, err error) {
	current, err := readManifest(ctx, store)
	if err != nil {
		return 0, false, &platform.UnknownOutcomeError{Op: "read back", Err: err}
	}
	if current.Generation <= expect {
		return 0, false, nil
	}
	// A write conditional on expect can only have created the generation after it.
	next := expect + 1
	switch found, known := current.NonceOf(next); {
	case known && found == nonce:
		return next, true, nil
	case known || current.Generation == next:
		return 0, true, &platform.ConflictError{Key: platform.ManifestKey, Expected: uint64(expect), Version: uint64(current.Generation)}
	default:
		return 0, false, &platform.UnknownOutcomeError{Op: "read back",
			Err: errors.New("later generations do not show which write was accepted first")}
	}
}
