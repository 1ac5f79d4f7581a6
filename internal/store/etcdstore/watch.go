package etcdstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"limpethub/internal/store"
)

// eventDelete is the type of a watch event for a key that was removed.
const eventDelete = "DELETE"

// errCompacted means that the watch's first revision is no longer kept.
var errCompacted = errors.New("etcdstore: revision compacted")

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	from := int64(after) + 1
	if after == 0 {
		entry, present, err := s.read(ctx, key)
		if !errors.Is(err, store.ErrNotFound) {
			return entry, err
		}
		from = present + 1
	}
	entry, err := s.watch(ctx, key, from)
	if errors.Is(err, errCompacted) {
		return s.watchFromNow(ctx, key, after)
	}
	return entry, err
}

// watchFromNow reads the key, whose history after the revision is gone, and waits
// on if the key itself hasn't changed.
func (s *Store) watchFromNow(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	entry, present, err := s.read(ctx, key)
	if err != nil || entry.Revision > after {
		return entry, err
	}
	return s.watch(ctx, key, present+1)
}

// watch waits for the first change of the key at or after a revision.
func (s *Store) watch(ctx context.Context, key string, from int64) (store.Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	question := watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: from}}
	body, err := s.open(ctx, "/v3/watch", question)
	if err != nil {
		return store.Entry{}, err
	}
	defer func() { _ = body.Close() }()
	messages := json.NewDecoder(body)
	for {
		var message watchResponse
		if err := messages.Decode(&message); err != nil {
			s.advance()
			return store.Entry{}, fmt.Errorf("etcdstore: watch %s: %w", key, err)
		}
		if message.Error != nil {
			return store.Entry{}, errorOf(*message.Error)
		}
		if message.Result.CompactRevision > 0 {
			return store.Entry{}, errCompacted
		}
		if message.Result.Canceled {
			return store.Entry{}, fmt.Errorf("etcdstore: watch %s: canceled by the service", key)
		}
		if n := len(message.Result.Events); n > 0 {
			return changed(message.Result.Events[n-1])
		}
	}
}

func changed(event watchEvent) (store.Entry, error) {
	if event.Type == eventDelete {
		return store.Entry{}, store.ErrNotFound
	}
	return entryOf(event.KV), nil
}
