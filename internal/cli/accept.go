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

// maxWrites bounds how often a write whose answer was lost is sent.
const maxWrites = 3

// accept writes a manifest conditional on what is in force and returns its generation. The error is
// a *platform.ConflictError when another generation was accepted instead, and a
// *platform.UnknownOutcomeError when it cannot be found out.
func accept(ctx context.Context, store platform.Store, inForce contract.StoredManifest, text []byte) (core.Generation, error) {
	nonce := rand.Text()
	stored, err := contract.AddGenerated(inForce, text, nonce, time.Now())
	if err != nil {
		return 0, err
	}
	expect := uint64(inForce.Generation)
	for n := 1; ; n++ {
		version, writeErr := store.Put(ctx, platform.ManifestKey, stored, expect)
		var unknown *platform.UnknownOutcomeError
		var conflict *platform.ConflictError
		switch {
		case writeErr == nil:
			return core.Generation(version), nil
		case n == 1 && !errors.As(writeErr, &unknown):
			return 0, writeErr
		case !errors.As(writeErr, &unknown) && !errors.As(writeErr, &conflict):
			// An earlier attempt may have taken effect.
			return 0, &platform.UnknownOutcomeError{Op: "apply", Err: writeErr}
		}
		gen, settled, err := readBack(ctx, store, inForce.Generation, nonce)
		if settled || err != nil {
			return gen, err
		}
		// The write may still be under way, so that an unchanged manifest proves nothing. Writing
		// again under the same condition settles it: at most one of the two takes effect.
		if n == maxWrites {
			return 0, &platform.UnknownOutcomeError{Op: "apply", Err: writeErr}
		}
	}
}

// readBack finds out whether a write that was conditional on expect took effect. It is settled when
// some write under that condition did.
func readBack(ctx context.Context, store platform.Store, expect core.Generation, nonce string) (gen core.Generation, settled bool, err error) {
	now, err := readManifest(ctx, store)
	if err != nil {
		return 0, false, &platform.UnknownOutcomeError{Op: "read back", Err: err}
	}
	if now.Generation <= expect {
		return 0, false, nil
	}
	// A write conditional on expect can only have become the generation after it.
	next := expect + 1
	switch found, known := now.NonceOf(next); {
	case known && found == nonce:
		return next, true, nil
	case known || now.Generation == next:
		return 0, true, &platform.ConflictError{Key: platform.ManifestKey, Expected: uint64(expect), Version: uint64(now.Generation)}
	default:
		return 0, false, &platform.UnknownOutcomeError{Op: "read back",
			Err: errors.New("later generations do not tell which write came first")}
	}
}
