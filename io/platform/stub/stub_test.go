package stub_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/platform/stub"
)

func call(t testing.TB, method, url, match, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// Guards against a stub that deviates from the protocol of docs/platform-api.md, and against faults with other effects
// than documented.
func TestProtocolAndFaults(t *testing.T) {
	s := stub.New()
	srv := httptest.NewServer(s)
	defer srv.Close()
	var log strings.Builder
	do := func(method, path, match, body string) {
		status, out := call(t, method, srv.URL+path, match, body)
		fmt.Fprintln(&log, method, path, match, body, "->", status, out)
	}
	do("GET", "/v1/objects/a", "", "")
	do("PUT", "/v1/objects/a", `"0"`, "one")
	do("PUT", "/v1/objects/a", `"0"`, "again")
	do("PUT", "/v1/objects/a", "", "no version")
	do("PUT", "/stub/v1/faults", "", `{"lose-put-responses":1}`)
	do("PUT", "/v1/objects/a", `"1"`, "two")
	do("GET", "/v1/objects/a", "", "")
	do("GET", "/v1/objects/a?watch=2&wait-ms=10", "", "")
	do("GET", "/v1/objects/a?watch=1&wait-ms=10", "", "")
	do("PUT", "/stub/v1/faults", "", `{"restore-to-revision":1}`)
	do("GET", "/v1/objects/a", "", "")
	do("PUT", "/stub/v1/faults", "", `{"restore-to-revision":9}`)
	do("PUT", "/stub/v1/faults", "", `{"down":true}`)
	do("GET", "/v1/objects/a", "", "")
	do("PUT", "/stub/v1/faults", "", `{"downn":true}`)
	do("GET", "/stub/v1/counters", "", "")
	assert.Equal(t, log.String(), `GET /v1/objects/a   -> 404 no object "a"
PUT /v1/objects/a "0" one -> 200 
PUT /v1/objects/a "0" again -> 412 Precondition Failed
PUT /v1/objects/a  no version -> 400 If-Match must be a version in double quotes, "0" for an object that must not exist
PUT /stub/v1/faults  {"lose-put-responses":1} -> 200 {"down":false,"slow-ms":0,"lose-put-responses":1}
PUT /v1/objects/a "1" two -> 0 
GET /v1/objects/a   -> 200 two
GET /v1/objects/a?watch=2&wait-ms=10   -> 304 
GET /v1/objects/a?watch=1&wait-ms=10   -> 200 two
PUT /stub/v1/faults  {"restore-to-revision":1} -> 200 {"down":false,"slow-ms":0,"lose-put-responses":0}
GET /v1/objects/a   -> 200 one
PUT /stub/v1/faults  {"restore-to-revision":9} -> 400 the history does not reach this revision
PUT /stub/v1/faults  {"down":true} -> 200 {"down":true,"slow-ms":0,"lose-put-responses":0}
GET /v1/objects/a   -> 503 the platform is down
PUT /stub/v1/faults  {"downn":true} -> 400 json: unknown field "downn"
GET /stub/v1/counters   -> 200 {"gets":4,"max-waiting-watches":1,"puts":3,"revision":1,"waiting-watches":0,"watches":2}
`)
}

func ExampleServer() {
	s := stub.New()
	s.SetFaults(stub.Faults{Down: true})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/v1/objects/config", nil))
	fmt.Println(w.Code, s.Counters().Gets)
	// Output: 503 1
}
