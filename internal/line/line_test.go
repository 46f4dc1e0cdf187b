package line

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestNext(t *testing.T) {
	long := strings.Repeat("x", MaxLength)
	for _, c := range []struct {
		buf, text string
		size      int
		err       error
	}{
		{"", "", 0, nil},
		{"PING", "", 0, nil},
		{"PING\r\nmore", "PING", 6, nil},
		{"\r\n", "", 2, nil},
		{"PING\n", "", 0, ErrMissingCRLF},
		{"\n", "", 0, ErrMissingCRLF},
		{long, "", 0, ErrTooLong},
		{long[:MaxLength-2] + "\r\n", long[:MaxLength-2], MaxLength, nil},
		{long[:MaxLength-1] + "\r\n", "", 0, ErrTooLong},
	} {
		text, size, err := Next([]byte(c.buf))
		if string(text) != c.text || size != c.size || err != c.err {
			t.Errorf("Next(%.20q) = %.20q, %d, %v; want %.20q, %d, %v", c.buf, text, size, err, c.text, c.size, c.err)
		}
	}
}

func TestOpen(t *testing.T) {
	text := []byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1,mid=1,h=12.5,new=1")
	o, err := ParseOpen(text)
	if err != nil || string(o.ID) != "9b1f" || NumericKey(o.Key) != 0x7f3a || string(o.Listener) != "chat" ||
		string(o.Tenant) != "acme" || o.Remaining != 2*time.Second || NumericKey(o.Group) != 0x5c0f || !o.Returned ||
		!o.MidFlow || o.Load != 12.5 || o.Holder != nil {
		t.Errorf("%q is parsed as %+v, %v", text, o, err)
	}
	want := "OPEN 9b1f 7f3a c=chat,t=acme,d=351,g=5c0f,again=1,mid=1,h=12.5,new=1\r\n"
	if got := o.AppendOpen(nil, text, 351*time.Millisecond); string(got) != want {
		t.Errorf("AppendOpen gives %q, want %q", got, want)
	}
	for _, bad := range []string{"", "OPEN", "OPEN a b", "OPEN a b c=x", "OPEN a b d=5", "OPEN a b c=x,d=", "OPEN a b c=x,d=-1",
		"OPEN a b c=x,d=1,d=2", "OPEN a b c=x,d=NaN", "OPEN a b c=x,d=5,h=Inf", "OPEN  b c=x,d=5", "open a b c=x,d=5",
		"OPEN a b c=x,d=5 e", "OPEN a b c=x,d=0x10", "OPEN a b c=x,d=1e3", "OPEN a b c=x,d=+5", "OPEN a b c=x,d=1_0",
		"OPEN a b c=x,c=y,d=5", "OPEN a b c=x,d=5,h=1,h=1", "OPEN a b c=x,d=5,new=1,new=2", "OPEN a\x00 b c=x,d=5",
		"OPEN a b c=x,d=5,h=1e2", "OPEN a b c=x,d=5," + strings.Join(strings.Split("ABCDEFGHIJKLMNOPQRSTUVWXYZefgijklno", ""), "=,") + "="} {
		if o, err := ParseOpen([]byte(bad)); err == nil {
			t.Errorf("%q is parsed as %+v, want an error", bad, o)
		}
	}
}

// FuzzNext checks that for any input the lines are consecutive parts of the buffer, that no parser panics on them, and that
// a formatted OPEN line parses again.
func FuzzNext(f *testing.F) {
	f.Add([]byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f\r\nPING\r\n"))
	f.Add([]byte("LOAD 12.5\r\nPONG x0=1,eps=2\r\n"))
	f.Fuzz(func(t *testing.T, buf []byte) {
		for rest := buf; ; {
			text, size, err := Next(rest)
			if err != nil || size == 0 {
				return
			}
			if size > MaxLength || !bytes.Equal(rest[:size], append(append([]byte{}, text...), '\r', '\n')) {
				t.Fatalf("the first line of %q is %q, %d bytes", rest, text, size)
			}
			if o, err := ParseOpen(text); err == nil {
				reparsed, err := ParseOpen(bytes.TrimSuffix(o.AppendOpen(nil, text, time.Second), []byte("\r\n")))
				if err != nil || reparsed.Remaining != time.Second || !bytes.Equal(reparsed.ID, o.ID) {
					t.Fatalf("%q is formatted and parsed again as %+v, %v", text, reparsed, err)
				}
			}
			NumericKey(text)
			ParseLoad(text)
			rest = rest[size:]
		}
	})
}
