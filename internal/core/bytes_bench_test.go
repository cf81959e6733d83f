package core_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// distinctSetup returns a setup whose queues have names, hosts and figures of their own, so that it compresses no better
// than one of an operator.
func distinctSetup(queues int) *mill.Setup {
	setup := &mill.Setup{Version: 7, Services: []mill.Service{{Name: "s"}}}

	for i := range queues {
		digest := sha256.Sum256(fmt.Append(nil, i))
		name, host := fmt.Sprintf("%x", digest[:6]), fmt.Sprintf("%x.example", digest[6:10])
		target, stretch := 100+int(digest[10]), 1+float64(digest[11])/100
		setup.Queues = append(setup.Queues, mill.Queue{
			Name: name, Host: host, Prefix: "/" + name + "/", Service: "s", Timeout: time.Second, MaxAttempts: 3,
			Stretch: stretch, Objective: time.Duration(target) * time.Millisecond,
			Advice: &mill.AdvicePolicy{Decide: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: 4 * time.Second},
		})
		setup.Document = fmt.Appendf(setup.Document, `{"name":%q,"host":%q,"path_prefix":%q,"service":"s","timeout_ms":1000,`+
			`"target_latency_ms":%d,"priority":1,"max_attempts":3,"stretch":%g,`+
			`"advice":{"decide_ms":20,"period_ms":1,"validity_ms":4000}},`, name, host, "/"+name+"/", target, stretch)
	}

	return setup
}

func encodedSize(b *testing.B, message any) float64 {
	b.Helper()

	data, err := wire.Encode(message)
	assert.NilError(b, err)

	return float64(len(data))
}

func packedSize(b *testing.B, message any) float64 {
	b.Helper()

	data, err := wire.Encode(message)
	assert.NilError(b, err)

	packed, err := wire.Pack(data)
	assert.NilError(b, err)

	return encodedSize(b, &core.PackedSetup{Packed: packed})
}

// BenchmarkSetupBytes reports the bytes of the messages that a setup takes part in, before and now: a contact, the
// operator's read and change on their way through another process, and a log entry on its way to one voter.
func BenchmarkSetupBytes(b *testing.B) {
	for _, queues := range []int{1200, 8000} {
		b.Run(fmt.Sprintf("queues=%d", queues), func(b *testing.B) {
			setup := distinctSetup(queues)
			members := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400", "10.0.0.4:7400", "10.0.0.5:7400"}
			entry, _, err := jobs.EncodeBatch([]jobs.Command{{Setup: setup}})
			assert.NilError(b, err)

			message := []raft.Message{{Kind: raft.KindAppendEntries, Entries: []raft.Entry{{Index: 1, Term: 1, Data: entry}}}}

			var packed []byte

			for b.Loop() {
				packed, err = drive.EncodeBatch(message, true)
				assert.NilError(b, err)
			}

			b.ReportMetric(float64(len(setup.Document)), "document-B")
			b.ReportMetric(encodedSize(b, &core.FollowReply{Leader: members[0], Members: members, Setup: setup}), "follow-before-B")
			b.ReportMetric(encodedSize(b, &core.ContactReply{
				Leader: members[0], Term: 9, Members: members, HasSetup: true, SetupVersion: 7,
				Limits: mill.CallLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3e9, IdleTimeout: 15e9},
			}), "contact-B")
			b.ReportMetric(encodedSize(b, &core.SetupReply{Setup: setup}), "read-before-B")
			b.ReportMetric(packedSize(b, &mill.Setup{Version: 7, Document: setup.Document}), "read-B")
			b.ReportMetric(encodedSize(b, setup), "change-before-B")
			b.ReportMetric(packedSize(b, setup), "change-B")
			b.ReportMetric(encodedSize(b, &drive.Batch[raft.Message]{Messages: message}), "entry-before-B")
			b.ReportMetric(float64(len(packed)), "entry-B")
		})
	}
}
