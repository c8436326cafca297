package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mustardmast/core/member"
	"mustardmast/core/quarantine"
	"mustardmast/io/control/controlv1"
)

func encodeNews(news []quarantine.Update) *controlv1.QuarantineRequest {
	r := &controlv1.QuarantineRequest{}
	for _, n := range news {
		c := &controlv1.CrashNews{
			Fingerprint: uint64(n.Fingerprint), Passed: encodeMark(n.Completed), Cleared: encodeMark(n.Cleared),
		}
		for _, m := range n.Crashes {
			c.Crashes = append(c.Crashes, encodeMark(m))
		}
		r.News = append(r.News, c)
	}
	return r
}

// encodeMark rounds the age down: a mark that arrives younger than it is stays in force longer, never shorter.
func encodeMark(m quarantine.Event) *controlv1.Mark {
	if m.Age == quarantine.Never {
		return nil
	}
	ms := m.Age.Milliseconds()
	if m.Age < 0 && m.Age%time.Millisecond != 0 {
		ms--
	}
	return &controlv1.Mark{Id: m.ID, AgeMs: ms}
}

func decodeNews(r *controlv1.QuarantineRequest) []quarantine.Update {
	var news []quarantine.Update
	for _, c := range r.News {
		n := quarantine.Update{
			Fingerprint: quarantine.Fingerprint(c.Fingerprint), Completed: decodeMark(c.Passed), Cleared: decodeMark(c.Cleared),
		}
		for _, m := range c.Crashes {
			n.Crashes = append(n.Crashes, decodeMark(m))
		}
		news = append(news, n)
	}
	return news
}

// maxAge is above every age that counts, and far from the bounds of a time.Duration.
const maxAge = 24 * time.Hour

func decodeMark(m *controlv1.Mark) quarantine.Event {
	if m == nil {
		return quarantine.Event{Age: quarantine.Never}
	}
	ms := max(min(m.AgeMs, maxAge.Milliseconds()), -maxAge.Milliseconds())
	return quarantine.Event{ID: m.Id, Age: time.Duration(ms) * time.Millisecond}
}

// EncodeDigest returns as much of the news as fits the digest of a datagram.
func EncodeDigest(news []quarantine.Update) []byte {
	for len(news) > 0 {
		b, err := proto.Marshal(encodeNews(news))
		if err == nil && len(b) <= member.MaxDigest {
			return b
		}
		news = news[:len(news)-1]
	}
	return nil
}

// DecodeDigest reads a datagram's digest. One that cannot be read has no news.
func DecodeDigest(b []byte) []quarantine.Update {
	var r controlv1.QuarantineRequest
	if err := proto.Unmarshal(b, &r); err != nil {
		return nil
	}
	return decodeNews(&r)
}
