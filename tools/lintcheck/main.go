// Command lintcheck runs gofmt -s, go vet, staticcheck and revive over the
// repository and compares what the two linters find with the list of named
// exceptions. It fails on a finding that the list does not name, and on an entry
// that no finding needs any more, so the list can only become shorter.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// exceptionsPath is the list of named exceptions, relative to the repository.
const exceptionsPath = "tools/exceptions.txt"

// errFindings reports that the checks ran and did not pass.
var errFindings = errors.New("the checks did not pass")

func main() {
	root := flag.String("root", "..", "top directory of the repository")
	list := flag.Bool("list", false, "print the present findings in the form of "+exceptionsPath)
	flag.Parse()
	if err := run(*root, *list, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lint:", err)
		os.Exit(1)
	}
}

// run checks the repository at root. With list set, it writes the findings to
// out in the form of the list of exceptions instead of comparing them with it.
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
	unlisted, unused := compare(findings, exceptions)
	for _, f := range unlisted {
		fmt.Fprintf(out, "%s:%d: %s: %s\n", f.path, f.line, f.key, f.message)
	}
	for _, key := range unused {
		fmt.Fprintf(out, "%s: nothing is found for this entry any more, remove it: %s\n", exceptionsPath, key)
	}
	fmt.Fprintf(out, "%d named exceptions, %d findings beside them, %d entries to remove\n",
		len(exceptions), len(unlisted), len(unused))
	if len(unlisted) > 0 || len(unused) > 0 {
		return errFindings
	}
	return nil
}
