// Package examples contains sample settings and tables for two deployments.
//
// # Usage
//
//	routes, err := examples.Files.ReadFile("sicily/routes.jsonc")
package examples

import "embed"

// Files contains the sample files settings.jsonc, routes.jsonc and pools.jsonc of each deployment.
//
//go:embed sicily/*.jsonc croatia/*.jsonc
var Files embed.FS
