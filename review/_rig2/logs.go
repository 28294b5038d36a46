package main

import (
	"os"
	"path/filepath"
	"strings"
)

// logLines copies the lines of the entries' logs about their state into the record.
func logLines() {
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(tempDir, e.name+".log"))
		if err != nil {
			continue
		}
		n := 0
		for line := range strings.Lines(string(data)) {
			if n++; n > 20000 {
				break
			}
			if strings.Contains(line, `"msg":"place"`) || strings.Contains(line, "panic") || strings.Contains(line, `"msg":"config"`) {
				record("log of %s: %s", e.name, strings.TrimSpace(line))
			}
		}
	}
}
