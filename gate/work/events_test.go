package work

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
)

// textBody is a body that ends with its connection.
type textBody struct{ io.Reader }

func (textBody) Close() {}

// checkedReply returns the reply with the body after CheckEvents, as a call of a stream route gets it.
func checkedReply(media string, status int, body io.Reader) Reply {
	head := Head{Status: status, Header: http.Header{"Content-Type": {media}}}
	return Reply{Head: head, Body: textBody{body}}.CheckEvents(Stream)
}

// TestEventStreamCutAnywhereIsNotComplete checks that a stream is only complete if it ends between two events.
func TestEventStreamCutAnywhereIsNotComplete(t *testing.T) {
	for name, stream := range map[string][]string{
		"line feeds":       {"id: 1\ndata: a\n\n", "weights: 2\nid: 2\ndata: b\ndata: c\n\n", ": comment\n\n", "data:\n\n"},
		"carriage returns": {"id: 1\r\ndata: a\r\n\r\n", "data: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			whole := strings.Join(stream, "")
			want, end := map[int]bool{0: true}, 0
			for _, event := range stream {
				end += len(event)
				want[end] = true
			}
			got := map[int]bool{}
			for cut := range len(whole) + 1 {
				reply := checkedReply("text/event-stream; charset=utf-8", http.StatusOK, iotest.OneByteReader(strings.NewReader(whole[:cut])))
				text, err := io.ReadAll(reply.Body)
				if err == nil {
					got[cut] = true
				} else if !fault.Is(err, fault.TargetFailed) {
					t.Errorf("cut after %d bytes: %v", cut, err)
				}
				if diff := cmp.Diff(whole[:cut], string(text)); diff != "" {
					t.Errorf("cut after %d bytes (-want +got):\n%s", cut, diff)
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("complete after these numbers of bytes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnframedStreamWithoutEventsIsNotComplete checks that an unframed success must have an event to be complete.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name, text       string
		framed, complete bool
		status           int
	}{
		{"nothing", "", false, false, http.StatusOK},
		{"only comments", ": hello\n\n\n", false, false, http.StatusOK},
		{"an event", ": hello\n\ndata: a\n\n", false, true, http.StatusOK},
		{"nothing, framed", "", true, true, http.StatusOK},
		{"a failure", "", false, true, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			head := Head{Status: c.status, Header: http.Header{"Content-Type": {eventStreamType}}, Unframed: !c.framed}
			reply := Reply{Head: head, Body: textBody{strings.NewReader(c.text)}}.CheckEvents(Stream)
			_, err := io.ReadAll(reply.Body)
			if diff := cmp.Diff(c.complete, err == nil); diff != "" {
				t.Errorf("complete (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOnlyEventStreamsAreChecked checks that bodies of other media types and failures of a stream route pass unchanged.
func TestOnlyEventStreamsAreChecked(t *testing.T) {
	for _, c := range []struct {
		name, media string
		kind        Kind
		status      int
		complete    bool
	}{
		{"stream route", "", Stream, http.StatusOK, false},
		{"failure of a stream route", "", Stream, http.StatusInternalServerError, true},
		{"failure with events", "text/event-stream", Stream, http.StatusInternalServerError, false},
		{"other type on a stream route", "application/json", Stream, http.StatusOK, true},
		{"other route", "", Repeatable, http.StatusOK, true},
		{"events on another route", "Text/Event-Stream", Repeatable, http.StatusOK, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply := Reply{Head: Head{Status: c.status, Header: http.Header{}}, Body: textBody{strings.NewReader("data: a")}}
			if c.media != "" {
				reply.Head.Header.Set("Content-Type", c.media)
			}
			_, err := io.ReadAll(reply.CheckEvents(c.kind).Body)
			if diff := cmp.Diff(c.complete, err == nil); diff != "" {
				t.Errorf("complete (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStreamWithoutEndOfEventFails checks that a stream which goes on without the end of an event fails, after less than a
// megabyte more, and that one of any length with events, or with few comments, does not. Such a stream went on until the
// time of its call was over, and did not count against its replica.
func TestStreamWithoutEndOfEventFails(t *testing.T) {
	filler := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name, start, more string
		endless           bool
	}{
		{"one line", "data: a\n\ndata: ", filler, true},
		{"lines of one event", "data: a\n\n", "data: " + filler + "\n", true},
		{"comments", "data: a\n\n", ": " + filler + "\n\n", true},
		{"empty lines", "data: a\n\n", "\r\n\n", true},
		{"events", "", "id: 1\ndata: " + filler + "\n\n", false},
		{"events and comments", "", ": " + filler + "\r\n\r\ndata: x\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			whole := c.start + strings.Repeat(c.more, 3*maxEventBytes/len(c.more))
			text, err := io.ReadAll(checkedReply("text/event-stream", http.StatusOK, strings.NewReader(whole)).Body)
			if diff := cmp.Diff([]bool{c.endless, c.endless}, []bool{fault.Is(err, fault.Protocol), len(text) < 2*maxEventBytes}); diff != "" {
				t.Errorf("fails, before its end (-want +got):\n%s\n%d bytes of %d, error %v", diff, len(text), len(whole), err)
			}
		})
	}
}
