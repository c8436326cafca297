package client

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"mustardmast/core/retry"
	"mustardmast/io/orderly"
	"mustardmast/io/rawhead"
	"mustardmast/io/strict"
)

// Settings configure a Client. Addresses is required; the zero value of any other field selects its default.
type Settings struct {
	Addresses    []string          // base URLs of nodes, such as http://192.0.2.1:7100, the preferred one first
	Transport    http.RoundTripper // default: HTTP/1.1 without proxy and compression
	Backer       string            // for requests without a backer
	Timeout      time.Duration     // for requests without a deadline; default 5 s
	RetryBudget  int               // retries over the whole call chain of a request; default 3, negative for none
	IDBatchSize  int               // request ids fetched at a time; default 64
	MaxIDAge     time.Duration     // older issued ids are not used; default 60 s, half of the nodes' window
	MaxBodyBytes int64             // longest response body that Do accepts; default 64 MiB
	HedgeAfter   time.Duration     // wait before a hedged send of an idempotent request; default 0, which disables hedging
	Seed         uint64            // for the jitter of retry waits; default taken from the clock
}

func (s *Settings) setDefaults() {
	if s.Transport == nil {
		s.Transport = strict.New(&http.Transport{
			DialContext:         orderly.Dial((&net.Dialer{Timeout: time.Second}).DialContext),
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     time.Minute,
		}, rawhead.MaxInterim)
	}
	setDefault(&s.Timeout, 5*time.Second)
	setDefault(&s.RetryBudget, 3)
	setDefault(&s.IDBatchSize, 64)
	setDefault(&s.MaxIDAge, time.Minute)
	setDefault(&s.MaxBodyBytes, 64<<20)
	setDefault(&s.Seed, uint64(time.Now().UnixNano()))
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Client sends requests to nodes. It does not follow redirects. It is safe for concurrent use.
type Client struct {
	settings   Settings
	httpClient *http.Client
	nodes      *nodePool
	retryRatio *retry.Ratio
	policy     *retry.Policy
}

// New returns a Client, or an error that names the invalid setting.
func New(s Settings) (*Client, error) {
	if len(s.Addresses) == 0 {
		return nil, errors.New("client: no node address")
	}
	for _, a := range s.Addresses {
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, errors.Errorf("client: invalid node address %q; expected http://host:port", a)
		}
	}
	s.setDefaults()
	ratio := retry.NewRatio(retry.DefaultRatio())
	return &Client{
		settings: s,
		httpClient: &http.Client{
			Transport:     s.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		nodes:      newNodePool(s.Addresses, s.MaxIDAge),
		retryRatio: ratio,
		policy:     retry.NewPolicy(ratio, retry.NewBackoff(s.Seed, retry.DefaultBaseWait, retry.DefaultMaxWait)),
	}, nil
}
