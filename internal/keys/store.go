package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"sync/atomic"
	"time"
)

// DefaultReloadInterval is the default time between two checks of the files.
const DefaultReloadInterval = 30 * time.Second

// expiryWarning is the time before the expiry of a certificate from which warnings are logged. It leaves a
// working week for the renewal.
const expiryWarning = 7 * 24 * time.Hour

// Store holds the certificates that a VM uses and replaces them with renewed ones. Safe for concurrent use.
type Store struct {
	files   Files
	name    string
	log     *slog.Logger
	current atomic.Pointer[credentials]
}

// Load reads and checks the certificates of the named VM. Errors: ErrRead, ErrFormat, ErrKeyMode,
// ErrKeyMismatch, ErrExpired, ErrNotYetValid, ErrNameMismatch, ErrUsage, ErrUnknownAuthority.
func Load(files Files, name string, log *slog.Logger) (*Store, error) {
	loaded, err := loadCredentials(files, name, time.Now())
	if err != nil {
		return nil, err
	}
	s := &Store{files: files, name: name, log: log}
	s.current.Store(loaded)
	return s, nil
}

// Certificate returns the VM's certificate and key.
func (s *Store) Certificate() *tls.Certificate { return s.current.Load().cert }

// Authorities returns the certificate authorities that sign the certificates of peers.
func (s *Store) Authorities() *x509.CertPool { return s.current.Load().authorities }

// NotAfter returns the time at which the certificate in use expires.
func (s *Store) NotAfter() time.Time { return s.Certificate().Leaf.NotAfter }

// Reload replaces the certificates in use if the files have changed and pass the checks of Load. It
// reports whether it replaced them. Its errors are those of Load; after an error, the certificates stay in
// use.
func (s *Store) Reload() (bool, error) {
	loaded, err := loadCredentials(s.files, s.name, time.Now())
	if err != nil {
		return false, err
	}
	if loaded.content == s.current.Load().content {
		return false, nil
	}
	s.current.Store(loaded)
	return true, nil
}

// Watch calls Reload at once and then after each interval, until ctx ends. An interval of 0 means
// DefaultReloadInterval. Watch logs renewals, failures and, once a day, that the certificate expires soon.
func (s *Store) Watch(ctx context.Context, interval time.Duration) {
	if interval == 0 {
		interval = DefaultReloadInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	w := watcher{store: s}
	for {
		w.check(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// watcher keeps the last failure that Watch has logged and the time of its last warning.
type watcher struct {
	store       *Store
	lastFailure string
	warnedAt    time.Time
}

func (w *watcher) check(now time.Time) {
	changed, err := w.store.Reload()
	switch {
	case err != nil && err.Error() != w.lastFailure:
		w.lastFailure = err.Error()
		w.store.log.Error("certificate files are not usable; the previous ones stay in use", "error", err)
	case err == nil:
		w.lastFailure = ""
	}
	if changed {
		w.store.log.Info("certificate renewed", "until", w.store.NotAfter())
	}
	if w.store.NotAfter().Sub(now) < expiryWarning && now.Sub(w.warnedAt) >= 24*time.Hour {
		w.warnedAt = now
		w.store.log.Warn("certificate expires soon, renew it with mangoweir keys", "until", w.store.NotAfter())
	}
}
