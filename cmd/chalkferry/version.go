package main

import (
	"fmt"
	"runtime/debug"
)

// version is the released version, the same as in the changelog.
const version = "0.1.0"

// versionCmd prints the version and that of the Go toolchain.
type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("chalkferry", version)
	if info, ok := debug.ReadBuildInfo(); ok {
		fmt.Println("built with", info.GoVersion)
	}
	return nil
}
