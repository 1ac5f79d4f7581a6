// Package plugins imports the built-in plug-in implementations for their init functions,
// which register them with package kernel.
package plugins

import (
	_ "limpethub/internal/engine/httpengine"
	_ "limpethub/internal/instancelist/httplist"
	_ "limpethub/internal/peers/quictransport"
	_ "limpethub/internal/placement"
	_ "limpethub/internal/scheduling/routing"
	_ "limpethub/internal/store/etcdstore"
)
