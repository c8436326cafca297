package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mustardmast/core/member"
	"mustardmast/core/quarantine"
	"mustardmast/io/control/controlv1"
)

func encodeQuarantineUpdates(updates []quarantine.Update) []*controlv1.CrashNews {
	var news []*controlv1.CrashNews
	for _, u := range updates {
		c := &controlv1.CrashNews{
			Fingerprint: uint64(u.Fingerprint), Passed: encodeEvent(u.Completed), Cleared: encodeEvent(u.Cleared),
		}
		for _, m := range u.Crashes {
			c.Crashes = append(c.Crashes, encodeEvent(m))
		}
		news = append(news, c)
	}
	return news
}

// encodeEvent rounds the age down: an event that arrives younger than it is stays in force longer, never shorter.
func encodeEvent(e quarantine.Event) *controlv1.Mark {
	if e.Age == quarantine.Never {
		return nil
	}
	ms := e.Age.Milliseconds()
	if e.Age < 0 && e.Age%time.Millisecond != 0 {
		ms--
	}
	return &controlv1.Mark{Id: e.ID, AgeMs: ms}
}

func decodeQuarantineUpdates(news []*controlv1.CrashNews) []quarantine.Update {
	var updates []quarantine.Update
	for _, c := range news {
		u := quarantine.Update{
			Fingerprint: quarantine.Fingerprint(c.Fingerprint), Completed: decodeEvent(c.Passed), Cleared: decodeEvent(c.Cleared),
		}
		for _, m := range c.Crashes {
			u.Crashes = append(u.Crashes, decodeEvent(m))
		}
		updates = append(updates, u)
	}
	return updates
}

// maxAge exceeds every age that has an effect and prevents an overflow of time.Duration.
const maxAge = 24 * time.Hour

func decodeEvent(m *controlv1.Mark) quarantine.Event {
	if m == nil {
		return quarantine.Event{Age: quarantine.Never}
	}
	ms := max(min(m.AgeMs, maxAge.Milliseconds()), -maxAge.Milliseconds())
	return quarantine.Event{ID: m.Id, Age: time.Duration(ms) * time.Millisecond}
}

// EncodeDigest encodes as many of the updates, from the first on, as fit into the digest of a datagram.
func EncodeDigest(updates []quarantine.Update) []byte {
	for len(updates) > 0 {
		b, err := proto.Marshal(&controlv1.QuarantineRequest{News: encodeQuarantineUpdates(updates)})
		if err == nil && len(b) <= member.MaxDigest {
			return b
		}
		updates = updates[:len(updates)-1]
	}
	return nil
}

// DecodeDigest decodes the digest of a datagram. It returns no updates if the digest is malformed.
func DecodeDigest(b []byte) []quarantine.Update {
	var r controlv1.QuarantineRequest
	if err := proto.Unmarshal(b, &r); err != nil {
		return nil
	}
	return decodeQuarantineUpdates(r.News)
}
