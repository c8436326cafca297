package client

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"mustardmast/core/retry"
)

// Settings describe a Client. Addresses are needed; zero values of the others stand for the defaults.
type Settings struct {
	Addresses    []string          // base addresses of nodes, such as http://192.0.2.1:7100, the preferred one first
	Transport    http.RoundTripper // default: HTTP/1.1 without proxy, compression and redirects
	Backer       string            // for requests that name none
	Timeout      time.Duration     // for requests without a deadline; default 5 s
	RetryBudget  int               // retries over the whole chain of a request; default 3, negative means none
	IDBatchSize  int               // request ids to take at a time; default 64
	MaxIDAge     time.Duration     // issued ids are not used when older; default 60 s, half of the nodes' window
	MaxBodyBytes int64             // longest response body that Do accepts; default 64 MiB
	HedgeAfter   time.Duration     // wait before a second send of an idempotent request; default 0, which means never
	Seed         uint64            // for the jitter of waits; default taken from the clock
}

func (s *Settings) defaults() {
	if s.Transport == nil {
		s.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     time.Minute,
		}
	}
	orDefault(&s.Timeout, 5*time.Second)
	orDefault(&s.RetryBudget, 3)
	orDefault(&s.IDBatchSize, 64)
	orDefault(&s.MaxIDAge, time.Minute)
	orDefault(&s.MaxBodyBytes, 64<<20)
	orDefault(&s.Seed, uint64(time.Now().UnixNano()))
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	nodes    *nodes
	ratio    *retry.Ratio
	policy   *retry.Policy
}

// New returns a Client, or an error that names the setting at fault.
func New(s Settings) (*Client, error) {
	if len(s.Addresses) == 0 {
		return nil, errors.New("client: no node address")
	}
	for _, a := range s.Addresses {
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, errors.Errorf("client: node address %q; allowed: http://host:port", a)
		}
	}
	s.defaults()
	ratio := retry.NewRatio(retry.DefaultRatio())
	return &Client{
		settings: s,
		http: &http.Client{
			Transport:     s.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		nodes:  newNodes(s.Addresses, s.MaxIDAge),
		ratio:  ratio,
		policy: retry.NewPolicy(ratio, retry.NewBackoff(s.Seed, retry.DefaultBaseWait, retry.DefaultMaxWait)),
	}, nil
}
