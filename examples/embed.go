// Package examples holds the manifests of both deployments.
package examples

import _ "embed"

// RandstadManifest is the manifest of the Randstad deployment, which the demo runs.
//
//go:embed randstad/manifest.jsonc
var RandstadManifest []byte

// SfaxManifest is the manifest of the Sfax deployment.
//
//go:embed sfax/manifest.jsonc
var SfaxManifest []byte
