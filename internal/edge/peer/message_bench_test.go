package peer

import (
	"fmt"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// hostRecord returns the member record of a host at the design size: 7,800 targets on 540 hosts.
func hostRecord(i int) fleet.Member {
	m := fleet.Member{
		Node:             fleet.NodeID(fmt.Sprintf("host-%03d", i)),
		AvailabilityZone: "eu-south-1a",
		PeerAddress:      fmt.Sprintf("10.20.%d.%d:7402", i/256, i%256),
		ForwardAddress:   fmt.Sprintf("10.20.%d.%d:7401", i/256, i%256),
		Incarnation:      1_790_000_000_000,
		Sequence:         17,
	}
	for t := range 7800 / 540 {
		name := fmt.Sprintf("catalogue-%d", t)
		pool := fleet.PoolName(fmt.Sprintf("service-%03d", (i*14+t)%140))
		m.Targets = append(m.Targets, fleet.Target{ID: fleet.NewTargetID(m.Node, name), Pool: pool, Slots: 4})
	}
	return m
}

func hostRecords(count int) []fleet.Member {
	var records []fleet.Member
	for i := range count {
		records = append(records, hostRecord(i))
	}
	return records
}

func hostVersions(count int) []message.MemberVersion {
	var digest []message.MemberVersion
	for _, m := range hostRecords(count) {
		digest = append(digest, message.MemberVersion{Node: m.Node, Incarnation: m.Incarnation, Sequence: m.Sequence})
	}
	return digest
}

// BenchmarkEncode measures the sizes of the messages that make up a node's traffic budget of 18 KB/s at the design size.
func BenchmarkEncode(b *testing.B) {
	for _, c := range []struct {
		name string
		body message.Message
	}{
		{"Ping/0", message.Ping{Sequence: 1 << 20}},
		{"Ping/1", message.Ping{Sequence: 1 << 20, Members: hostRecords(1)}},
		{"Ping/4", message.Ping{Sequence: 1 << 20, Members: hostRecords(4)}},
		{"Ack/0", message.Ack{Sequence: 1 << 20, Subject: "host-001"}},
		{"SyncRequest/64", message.SyncRequest{Digest: hostVersions(64)}},
		{"UsageRequest/0", message.UsageRequest{Shard: 3, Number: 1 << 20, Stamp: 1 << 60, Shares: 20, Duration: 750 * time.Millisecond, Members: 81}},
		{"UsageRequest/1", message.UsageRequest{
			Shard: 3, Number: 1 << 20, Stamp: 1 << 60, Shares: 20, Duration: 750 * time.Millisecond, Members: 81,
			Wants: []message.UsageWant{{Account: "account-00001", Tokens: 1}},
		}},
		{"UsageReply/1", message.UsageReply{
			Shard: 3, Number: 1 << 20, Stamp: 1 << 60,
			Grants: []message.UsageGrant{{Account: "account-00001", Tokens: 1, Lifetime: 400 * time.Millisecond}},
		}},
		{"Sync/18", message.SyncReply{Members: hostRecords(18)}},
	} {
		b.Run(c.name, func(b *testing.B) {
			envelope := message.Envelope{
				From: "host-000", Incarnation: 1_790_000_000_000, Address: "10.20.0.1:7402", Revision: 4000, Message: c.body,
			}
			size := 0
			for b.Loop() {
				encoded, err := encode(envelope)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
