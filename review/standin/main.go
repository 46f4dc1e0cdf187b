// Standin runs one case of the review: it is the platform, the servers and the clients, and starts the proxy as the deploy
// file has it. It writes record.txt into the case's folder and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run. It starts in the repository's root. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// trouble reports whether the disruption is to happen.
var trouble = os.Getenv("TROUBLE") != "0"

// tempDir is the temporary folder of the case.
var tempDir string

func main() {
	runtime.LockOSThread() // the proxies die with the thread that started them
	cases := map[string]func(rec *record, dir string) bool{"moved": moved}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: review-standin CASE FOLDER")
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	if tempDir, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("temporary folder: %v", err)
	}
	rec := &record{file: file}
	rec.line("trouble: %v", trouble)
	held := cases[os.Args[1]](rec, tempDir)
	os.RemoveAll(tempDir)
	if held {
		rec.line("result: the rule held")
		fmt.Println("the rule held")
		return
	}
	rec.line("result: the rule was broken")
	fmt.Println("the rule was broken")
	os.Exit(1)
}
