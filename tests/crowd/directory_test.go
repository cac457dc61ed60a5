package crowd

import (
	"bytes"
	"strings"
	"testing"
)

// directoryBodyBytes is just under what a directory reads of a look-up.
const directoryBodyBytes = 63 << 10

// TestDirectoryCrowds plays crowds at the directory.
func TestDirectoryCrowds(t *testing.T) {
	body := bytes.Repeat([]byte("b"), directoryBodyBytes)
	tests := []controlTest{
		{"idle", idleCrowd, member{}},
		{"heads without an end", idleCrowd, member{start: []byte("GET /api/resolve?name=" + strings.Repeat("n", 15<<10))}},
		{"short of its end by length", frontendCrowd, stoppingShort(post("/api/resolve?name=n", body, byLength))},
		{"short of its end in chunks", frontendCrowd, stoppingShort(post("/api/resolve?name=n", body, byChunks))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t)
			gather(t, d.address(coreIP, "directory"), test.count, test.member)
			d.waitFor("the directory", d.isDirectoryAnswering)
			d.waitFor("the core node", d.isCoreAnswering)
			d.core.check(t)
		})
	}
}
