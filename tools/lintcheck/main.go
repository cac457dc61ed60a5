// Command lintcheck runs gofmt -s, go vet, staticcheck and revive on the
// repository and compares the findings of the two linters with the list of
// exceptions. It fails on a finding that is not listed and on an entry without a
// finding, so that fixed findings are removed from the list.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// exceptionsPath is the path of the list of exceptions, relative to the repository root.
const exceptionsPath = "tools/exceptions.txt"

// errFindings reports that findings and the list of exceptions differ.
var errFindings = errors.New("the findings differ from the list of exceptions")

func main() {
	root := flag.String("root", "..", "root directory of the repository")
	list := flag.Bool("list", false, "print the current findings in the format of "+exceptionsPath)
	flag.Parse()
	if err := run(*root, *list, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lint:", err)
		os.Exit(1)
	}
}

// run checks the repository at root. If list is set, it writes the findings to
// out in the format of the list of exceptions instead of comparing them with it.
func run(root string, list bool, out io.Writer) error {
	findings, err := collectFindings(root)
	if err != nil {
		return err
	}
	if list {
		_, err := io.WriteString(out, formatExceptions(findings))
		return err
	}
	text, err := os.ReadFile(filepath.Join(root, exceptionsPath))
	if err != nil {
		return err
	}
	exceptions, err := parseExceptions(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", exceptionsPath, err)
	}
	unlisted, unused := compareWithExceptions(findings, exceptions)
	for _, f := range unlisted {
		fmt.Fprintf(out, "%s:%d: %s: %s\n", f.path, f.line, f.key, f.message)
	}
	for _, key := range unused {
		fmt.Fprintf(out, "%s: no finding for this entry, remove it: %s\n", exceptionsPath, key)
	}
	fmt.Fprintf(out, "%d exceptions, %d unlisted findings, %d entries to remove\n",
		len(exceptions), len(unlisted), len(unused))
	if len(unlisted) > 0 || len(unused) > 0 {
		return errFindings
	}
	return nil
}
