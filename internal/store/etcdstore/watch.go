package etcdstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"limpethub/internal/store"
)

// eventDelete is the type of a watch event for a removed key.
const eventDelete = "DELETE"

// errCompacted means that etcd has discarded the history at the watch's start revision.
// Watch then reads the key again. It returns errCompacted only if the history is
// compacted once more between that read and the second watch.
var errCompacted = errors.New("etcdstore: revision compacted")

func (s *Store) Watch(ctx context.Context, key string, after store.Revision, progress func()) (store.Entry, error) {
	from := int64(after) + 1
	if after == 0 {
		entry, storeRevision, err := s.readWithStoreRevision(ctx, key)
		if !errors.Is(err, store.ErrNotFound) {
			return entry, err
		}
		from = storeRevision + 1
	}
	entry, err := s.watch(ctx, key, from, progress)
	if errors.Is(err, errCompacted) {
		return s.watchFromCurrent(ctx, key, after, progress)
	}
	return entry, err
}

// watchFromCurrent replaces a watch whose history was compacted: it returns the key's
// current entry if that is newer than after, and otherwise watches from the current
// revision of the whole store.
func (s *Store) watchFromCurrent(ctx context.Context, key string, after store.Revision, progress func()) (store.Entry, error) {
	entry, storeRevision, err := s.readWithStoreRevision(ctx, key)
	if err != nil || entry.Revision > after {
		return entry, err
	}
	return s.watch(ctx, key, storeRevision+1, progress)
}

// watch waits for etcd's first message with changes of the key at or after revision from,
// and returns the last of these changes. It calls progress for each message without changes,
// the first of which confirms the watch.
func (s *Store) watch(ctx context.Context, key string, from int64, progress func()) (store.Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: from}}
	body, err := s.post(ctx, "/v3/watch", request)
	if err != nil {
		return store.Entry{}, err
	}
	defer func() { _ = body.Close() }()
	decoder := json.NewDecoder(body)
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			s.nextEndpoint()
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
			return entryOfEvent(message.Result.Events[n-1])
		}
		progress()
	}
}

// entryOfEvent returns the entry that an event wrote, or ErrNotFound for a removal.
func entryOfEvent(event watchEvent) (store.Entry, error) {
	if event.Type == eventDelete {
		return store.Entry{}, store.ErrNotFound
	}
	return entryOf(event.KV), nil
}
