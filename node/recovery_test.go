package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mustardmast/io/eventlog"
)

// Guards against a response that was begun before a panic, and that an error message completes.
func TestPanicInTheMiddleOfAResponse(t *testing.T) {
	chain := negroni.New(&recovery{log: eventlog.New(zap.NewNop())})
	chain.UseHandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic("fault")
	})
	s := httptest.NewServer(chain)
	defer s.Close()
	resp, err := http.Get(s.URL)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, err != nil, "%q looks complete", got)
}
