package controlplane

import (
	"time"

	"lichentray/internal/transport"
	"lichentray/registry"
)

const (
	// maxEventsPerFrame is the number of events at which a frame of a stream is full. The events
	// of one write are never split, so a frame may exceed it.
	maxEventsPerFrame = 512
	// bookmarksPerVerdicts is the interval, in bookmarks, at which a bookmark carries verdicts.
	bookmarksPerVerdicts = 3
)

// eventStream sends changes of the watched objects to a proxy as they are applied, and bookmarks
// while this node is up to date. A proxy that receives no bookmarks connects to another node.
type eventStream struct {
	*watchServer
	conn     *transport.Conn
	session  *proxySession
	after    uint64 // the newest revision sent
	isPacked bool   // large frames may be packed
	// disconnected is closed when the proxy has closed its connection.
	disconnected <-chan struct{}
	bookmarks    int // number sent, not counting the first
}

// run streams until the connection breaks, the watch cache no longer reaches back to the last
// revision sent, or the node stops.
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

// sendFirstBookmark sends the addresses of the other nodes. Its revision must not cover events
// that have not been sent yet.
func (s *eventStream) sendFirstBookmark() (ok bool) {
	bookmark := s.newBookmark(s.session.proxyName)
	bookmark.Revision = s.after
	return s.conn.Send(&transport.Frame{Bookmark: bookmark}) == nil
}

// sendEvents sends the next batch of events, if any. ok is false when the stream has ended.
func (s *eventStream) sendEvents() (sent, ok bool) {
	events, err := s.state.eventsSince(s.after, maxEventsPerFrame)
	if err != nil {
		_ = s.conn.Send(&transport.Frame{Gone: true}) // the proxy lists again even if this fails
		return false, false
	}
	if len(events) == 0 {
		return false, true
	}
	s.after = events[len(events)-1].Revision
	frame := &transport.Frame{
		Events:   filterWatched(events),
		Bookmark: &transport.Bookmark{Revision: s.after},
	}
	if s.isPacked {
		s.encodings.events.pack(frame, s.metrics.eventsEncoded)
	}
	return true, s.conn.Send(frame) == nil
}

// sendBookmark sends a bookmark. If there are new events, which must be sent first, or this node
// is not up to date, it instead signals woken, so that the stream checks for events immediately.
// ok is false when the connection broke.
func (s *eventStream) sendBookmark(woken chan struct{}) (ok bool) {
	bookmark := s.newBookmark(s.session.proxyName)
	s.bookmarks++
	if s.bookmarks%bookmarksPerVerdicts == 0 {
		bookmark.Judged = true
		bookmark.Verdicts = s.currentSummary().verdicts
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

// filterWatched filters events in place and returns those of watched objects.
func filterWatched(events []registry.Event) []registry.Event {
	watched := events[:0]
	for _, e := range events {
		if isWatched(e.Object.Key) {
			watched = append(watched, e)
		}
	}
	return watched
}
