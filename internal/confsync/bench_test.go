package confsync

import (
	"fmt"
	"testing"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// newSiteDocument makes a document with the given numbers of models, adapters and servers.
func newSiteDocument(models, adapters, servers int) site.Document {
	d := site.Document{Site: "large", Classes: []site.Class{{Name: "urgent", TimeoutMillis: 1100, Weight: 1, QueueLimit: 100}}}
	for i := range 10 {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("zone-%d", i))
	}
	for i := range models {
		d.Models = append(d.Models, site.Model{
			Name: fmt.Sprintf("model-%04d", i), Version: "3", Default: true, MemoryMB: int64(16_000 + i*37%9000), Class: "urgent",
		})
	}
	for i := range adapters {
		d.Adapters = append(d.Adapters, site.Adapter{
			Name: fmt.Sprintf("adapter-%04d", i), Version: "1", Default: true,
			Base: modelref.New(fmt.Sprintf("model-%04d", i%max(models, 1)), "3"), MemoryMB: int64(100 + i*13%700), Class: "urgent",
		})
	}
	for i := range servers {
		d.Servers = append(d.Servers, site.Server{
			Name: fmt.Sprintf("server-%05d", i), Kind: site.KindEngine, FailureDomain: fmt.Sprintf("zone-%d", i%10),
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Accelerators: 8, MemoryMB: 640_000, HonoursFencing: i%3 > 0,
		})
	}
	return d
}

// BenchmarkCodec measures the stored size of a site's configuration and the time to encode
// and decode it.
func BenchmarkCodec(b *testing.B) {
	for _, size := range []struct{ models, adapters, servers int }{
		{26, 60, 15}, {140, 330, 1000}, {1400, 3300, 10_000},
	} {
		stored := Stored{}.next("change", newSiteDocument(size.models, size.adapters, size.servers))
		value, err := stored.Encode()
		if err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprintf("servers=%d", size.servers)
		b.Run("encode/"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := stored.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "stored-B")
		})
		b.Run("decode/"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(value); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
