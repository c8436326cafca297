// Package docs_test checks that the documentation pages agree with the code and with each other.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/configtext"
	"mustardmast/io/settings"
)

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(b)
}

// files returns the paths of the files below root that end in suffix. It skips hidden directories.
func files(t *testing.T, root, suffix string) []string {
	t.Helper()
	var out []string
	assert.NilError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && len(d.Name()) > 2 && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, suffix) {
			out = append(out, path)
		}
		return err
	}))
	assert.Assert(t, len(out) > 0, "no files *%s below %s", suffix, root)
	return out
}

var (
	jsonKeyRE  = regexp.MustCompile("`json:\"([a-z-]+)\"`")
	tableKeyRE = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| [^|]+ \\| [^|]+ \\| [^|]* \\| [^|]+ \\|$")
)

// Guards against a process setting that is not documented, and against a documented setting that does not exist.
func TestOperationsListsEverySetting(t *testing.T) {
	page := read(t, "OPERATIONS.md")
	_, table, ok := strings.Cut(page, "\n## Process settings\n")
	assert.Assert(t, ok, "OPERATIONS.md has no section for the process settings")
	table, _, _ = strings.Cut(table, "\n## ")
	assert.DeepEqual(t, firstGroups(tableKeyRE, table), firstGroups(jsonKeyRE, read(t, "../io/settings/settings.go")))
	assert.Assert(t, strings.Contains(table, "| `drain-timeout` | duration | `"+settings.DefaultDrainTimeout.String()+"` |"))
}

// firstGroups returns what the first group of r matches in text, sorted.
func firstGroups(r *regexp.Regexp, text string) []string {
	var out []string
	for _, m := range r.FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	sort.Strings(out)
	return out
}

var (
	metricRegistrationRE = regexp.MustCompile(`(?:New|GetOrCreate)(Gauge|Counter|PrometheusHistogramExt)\((?:fmt\.Sprintf\()?"(mustardmast_[a-z_]+)((?:\{[^}]*\})?)"`)
	metricLiteralRE      = regexp.MustCompile(`"mustardmast_`)
	metricRowRE          = regexp.MustCompile("(?m)^\\| `(mustardmast_[a-z_]+)((?:\\{[^}]*\\})?)` \\| (gauge|counter|histogram) \\| [^|]+ \\| [^|]+ \\|$")
	labelValueRE         = regexp.MustCompile(`=%q`)
)

// Guards against a metric that is not documented, a documented type or label that differs from the code, and a
// documented metric that no longer exists.
func TestMetricsPageAgreesWithCode(t *testing.T) {
	types := map[string]string{"Gauge": "gauge", "Counter": "counter", "PrometheusHistogramExt": "histogram"}
	code, page := map[string]string{}, map[string]string{}
	for _, path := range files(t, "..", ".go") {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text := read(t, path)
		found := metricRegistrationRE.FindAllStringSubmatch(text, -1)
		assert.Equal(t, len(found), len(metricLiteralRE.FindAllString(text, -1)), "%s registers a metric in a form that this test cannot parse", path)
		for _, m := range found {
			code[m[2]+labelValueRE.ReplaceAllString(m[3], "")] = types[m[1]]
		}
	}
	for _, m := range metricRowRE.FindAllStringSubmatch(read(t, "metrics.md"), -1) {
		_, duplicate := page[m[1]+m[2]]
		assert.Assert(t, !duplicate, "metrics.md lists %s twice", m[1])
		page[m[1]+m[2]] = m[3]
	}
	assert.DeepEqual(t, page, code)
}

// Guards against a reference in the operations page to a metric, an event or an error kind that does not exist.
func TestOperationsReferencesExist(t *testing.T) {
	text, metrics, events, errors := read(t, "OPERATIONS.md"), read(t, "metrics.md"), read(t, "events.md"), read(t, "errors.md")
	for _, m := range regexp.MustCompile("mustardmast_[a-z_]+").FindAllString(text, -1) {
		assert.Check(t, strings.Contains(metrics, "`"+m+"`") || strings.Contains(metrics, "`"+m+"{"), "metric %s", m)
	}
	for _, e := range regexp.MustCompile("MM[0-9]+").FindAllString(text, -1) {
		assert.Check(t, strings.Contains(events, "| "+e+" |"), "event %s", e)
	}
	for _, m := range regexp.MustCompile("`([a-z-]+)` \\(`(?:unknown|not-executed|executed)`\\)").FindAllStringSubmatch(text, -1) {
		assert.Check(t, strings.Contains(errors, "| "+m[1]+" |"), "error kind %s", m[1])
	}
}

var (
	linkRE      = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingRE   = regexp.MustCompile(`(?m)^#+ (.+)$`)
	nonAnchorRE = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// Guards against a link between pages whose file or heading does not exist.
func TestLinkTargetsExist(t *testing.T) {
	for _, page := range files(t, "..", ".md") {
		for _, m := range linkRE.FindAllStringSubmatch(read(t, page), -1) {
			file, anchor, _ := strings.Cut(m[1], "#")
			if strings.Contains(file, "://") {
				continue
			}
			target := page
			if file != "" {
				target = filepath.Join(filepath.Dir(page), file)
			}
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: link to %s: %v", page, m[1], err)
				continue
			}
			assert.Check(t, anchor == "" || anchors(read(t, target))[anchor], "%s: %s has no heading for #%s", page, target, anchor)
		}
	}
}

// anchors returns the anchors of the headings of a page.
func anchors(text string) map[string]bool {
	out := map[string]bool{}
	for _, m := range headingRE.FindAllStringSubmatch(text, -1) {
		out[strings.ReplaceAll(nonAnchorRE.ReplaceAllString(strings.ToLower(m[1]), ""), " ", "-")] = true
	}
	return out
}

// Guards against an example file that the programs reject.
func TestExamplesAreValid(t *testing.T) {
	_, err := settings.Load("../examples/host-1.json")
	assert.NilError(t, err)
	for _, name := range []string{"koper.json", "araba.json"} {
		c, faults := configtext.Decode([]byte(read(t, "../examples/"+name)))
		assert.Equal(t, len(faults), 0, "%s: %v", name, faults)
		assert.Assert(t, len(c.Services()) > 0, name)
	}
	found, err := filepath.Glob("../examples/*")
	assert.NilError(t, err)
	assert.Equal(t, len(found), 3, "expected 3 example files, all of which this test checks; found %v", found)
}
