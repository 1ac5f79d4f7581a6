package settings

// Plug-ins that are used unless the settings name others.
const (
	DefaultStore     = "store.etcd"
	DefaultEngine    = "engine.http"
	DefaultInstances = "instances.http"
	DefaultPeers     = "peers.quic"
	DefaultRouting   = "routing.deadline"
	DefaultPlacement = "placement.value"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// Default returns the settings that a file starts from: defaults where there are any,
// and zero values elsewhere.
func Default() Settings {
	return Settings{
		Listeners: Listeners{
			Callers:   Listener{Bounds: defaultCallerBounds()},
			Operators: Listener{Bounds: defaultOperatorBounds()},
			Peers:     Listener{Bounds: defaultPeerBounds()},
		},
		Plugins: Plugins{
			Store:     Plugin{Name: DefaultStore},
			Engine:    Plugin{Name: DefaultEngine},
			Instances: Plugin{Name: DefaultInstances},
			Peers:     Plugin{Name: DefaultPeers},
			Routing:   Plugin{Name: DefaultRouting},
			Placement: Plugin{Name: DefaultPlacement},
		},
		Log:                Log{Level: "info"},
		DrainTimeoutMillis: 120_000,
		EntriesTTLMillis:   5_000,
	}
}

func defaultCallerBounds() Bounds {
	return Bounds{
		MaxBodyBytes:      8 * mib,
		MaxHeaderBytes:    32 * kib,
		MaxHeaders:        64,
		MaxConnections:    4096,
		MaxStreams:        4096,
		IdleTimeoutMillis: 90_000,
		ReadTimeoutMillis: 30_000,
	}
}

func defaultOperatorBounds() Bounds {
	return Bounds{
		MaxBodyBytes:      4 * mib,
		MaxHeaderBytes:    16 * kib,
		MaxHeaders:        64,
		MaxConnections:    64,
		MaxStreams:        64,
		IdleTimeoutMillis: 60_000,
		ReadTimeoutMillis: 10_000,
	}
}

func defaultPeerBounds() Bounds {
	return Bounds{
		MaxBodyBytes:      2 * mib,
		MaxHeaderBytes:    8 * kib,
		MaxHeaders:        32,
		MaxConnections:    512,
		MaxStreams:        256,
		IdleTimeoutMillis: 30_000,
		ReadTimeoutMillis: 10_000,
	}
}
