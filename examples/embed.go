// Package examples holds the manifests of both deployments.
package examples

import _ "embed"

// Randstad is the manifest of the Randstad deployment, which the demo runs.
//
//go:embed randstad/manifest.jsonc
var Randstad []byte

// Sfax is the manifest of the Sfax deployment.
//
//go:embed sfax/manifest.jsonc
var Sfax []byte
