// Package examples contains sample settings and tables for two deployments.
//
// # Usage
//
//	routes, err := examples.Files.ReadFile("sicily/routes.jsonc")
package examples

import "embed"

// Files are the sample files.
//
//go:embed sicily/*.jsonc croatia/*.jsonc
var Files embed.FS
