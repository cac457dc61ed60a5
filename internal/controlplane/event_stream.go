package controlplane

import (
	"time"

	"lichentray/internal/transport"
	"lichentray/registry"
)

const (
	// maxEventsPerFrame bounds one frame of a stream.
	maxEventsPerFrame = 512
	// bookmarksPerVerdicts is how many bookmarks go between two that carry verdicts.
	bookmarksPerVerdicts = 3
)

// eventStream sends a proxy the changes of the watched objects as they come, and
// bookmarks while this node is up to date. Without bookmarks the proxy follows another
// node.
type eventStream struct {
	*watchServer
	conn     *transport.Conn
	session  *proxySession
	after    uint64 // the newest revision sent
	isPacked bool   // large frames may be packed
	// disconnected is closed when the proxy has closed its connection.
	disconnected <-chan struct{}
	bookmarks    int // sent but for the first
}

// run streams until the connection breaks, the watch cache no longer reaches back to
// what was sent last, or the node stops.
func (s *eventStream) run() {
	defer s.conn.Close()
	woken, unsubscribe := s.state.changed.subscribe()
	defer unsubscribe()
	ticker := time.NewTicker(s.timing.BookmarkInterval)
	defer ticker.Stop()
	if !s.sendFirstBookmark() {
		return
	}
	for {
		sent, ok := s.sendEvents()
		if !ok {
			return
		}
		if sent {
			continue
		}
		select {
		case <-s.disconnected:
			return
		case <-s.ctx.Done():
			return
		case <-woken:
		case <-ticker.C:
			if s.isStopping.Load() || !s.sendBookmark(woken) {
				return
			}
		}
	}
}

// sendFirstBookmark sends the addresses of the other nodes. It must not cover events
// that are still to be sent.
func (s *eventStream) sendFirstBookmark() (ok bool) {
	bookmark := s.newBookmark(s.session.proxyName)
	bookmark.Revision = s.after
	return s.conn.Send(&transport.Frame{Bookmark: bookmark}) == nil
}

// sendEvents sends the next events, if there are any. ok is false when the stream has
// ended.
func (s *eventStream) sendEvents() (sent, ok bool) {
	events, err := s.state.eventsSince(s.after, maxEventsPerFrame)
	if err != nil {
		_ = s.conn.Send(&transport.Frame{Gone: true}) // the proxy lists again either way
		return false, false
	}
	if len(events) == 0 {
		return false, true
	}
	s.after = events[len(events)-1].Revision
	frame := &transport.Frame{
		Events:   onlyWatched(events),
		Bookmark: &transport.Bookmark{Revision: s.after},
	}
	if s.isPacked {
		s.encodings.events.pack(frame, s.metrics.eventsEncoded)
	}
	return true, s.conn.Send(frame) == nil
}

// sendBookmark sends a bookmark unless events came since that must go out before it,
// or this node is not up to date; woken is signalled then, so that the stream looks
// for events at once. ok is false when the connection broke.
func (s *eventStream) sendBookmark(woken chan struct{}) (ok bool) {
	bookmark := s.newBookmark(s.session.proxyName)
	s.bookmarks++
	if s.bookmarks%bookmarksPerVerdicts == 0 {
		bookmark.Judged = true
		bookmark.Verdicts = s.getSummary().verdicts
	}
	events, err := s.state.eventsSince(s.after, 1)
	if len(events) > 0 || err != nil || !s.consensus.isUpToDate() {
		wakeUp(woken)
		return true
	}
	if s.conn.Send(&transport.Frame{Bookmark: bookmark}) != nil {
		return false
	}
	s.after = max(s.after, bookmark.Revision)
	return true
}

// onlyWatched returns the events of watched objects, in place.
func onlyWatched(events []registry.Event) []registry.Event {
	watched := events[:0]
	for _, e := range events {
		if isWatched(e.Object.Key) {
			watched = append(watched, e)
		}
	}
	return watched
}
