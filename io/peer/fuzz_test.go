package peer

import (
	"net"
	"net/rpc"
	"testing"

	"google.golang.org/protobuf/proto"

	"radishwell/core"
	"radishwell/wire"
)

// FuzzServe sends arbitrary bytes over a control connection, as an unknown client or a
// faulty process might. The server must end the connection and not fail itself.
func FuzzServe(f *testing.F) {
	head, _ := proto.Marshal(&wire.CallHead{Method: "Peer.Sync", Sequence: 1})
	body, _ := proto.Marshal(&wire.SyncCall{From: "entry-1", Through: []*wire.Through{{Kind: "models", Version: 3}}})
	whole := append([]byte{byte(len(head))}, head...)
	whole = append(append(whole, byte(len(body))), body...)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	head, _ = proto.Marshal(&wire.CallHead{Method: "Peer.Fetch", Sequence: 2})
	body, _ = proto.Marshal(&wire.FetchCall{Kind: "models", Version: 3, Offset: 1 << 63})
	f.Add(append(append(append([]byte{byte(len(head))}, head...), byte(len(body))), body...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	s := &Store{Kinds: []core.Kind{core.KindModel}}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{handler: &Handler{Sync: s.ServeSync, Fetch: s.ServeFetch}}); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			server.ServeCodec(serverCodec{newCodec(&meteredConn{Conn: far, traffic: &byteCounts{}})})
			close(done)
		}()
		drained := make(chan struct{})
		go func() {
			buf := make([]byte, 4096)
			for {
				if _, err := near.Read(buf); err != nil {
					close(drained)
					return
				}
			}
		}()
		_, _ = near.Write(data)
		near.Close()
		<-done
		<-drained
	})
}

// FuzzDelta joins arbitrary deltas.
func FuzzDelta(f *testing.F) {
	seed, _ := proto.Marshal(&wire.KindDelta{Kind: "models", Through: 9, Full: true, Items: []*wire.Item{{Name: "a", Version: 3}}})
	f.Add(seed)
	seed, _ = proto.Marshal(&wire.KindDelta{Kind: "models", From: 1, Through: 4, Items: []*wire.Item{{Name: "a", Version: 4, Deleted: true}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var d wire.KindDelta
		if proto.Unmarshal(data, &d) != nil {
			return
		}
		s := &Store{Kinds: []core.Kind{core.KindModel}}
		s.init()
		s.join(core.KindModel, fromWire(&d), Arrival{})
		before := s.Status(core.KindModel)
		if s.join(core.KindModel, fromWire(&d), Arrival{}) || s.Status(core.KindModel) != before {
			t.Error("joining a delta a second time changed the replica")
		}
	})
}

// FuzzPart joins arbitrary parts of a payload.
func FuzzPart(f *testing.F) {
	p := &payload{build: func() ([]byte, int) { return []byte(`{"text":"qalam"}`), 16 }}
	p.compress()
	f.Add(p.data, p.size, p.sum, uint64(0))
	f.Add(p.data[:3], p.size, p.sum, uint64(2))
	f.Add([]byte{1, 2, 3}, uint64(3), uint64(0), uint64(1<<63))
	f.Fuzz(func(t *testing.T, data []byte, unpacked, sum, offset uint64) {
		d := &download{}
		part := &wire.FetchReply{Data: data, Size: uint64(len(data)), Sum: sum, Unpacked: unpacked}
		if d.addPart(offset, part) != (uint64(len(d.data)) == d.total) {
			t.Error("addPart reports completion wrongly")
		}
		if out, err := decompress(data, min(unpacked, 1<<16)); err == nil && uint64(len(out)) != min(unpacked, 1<<16) {
			t.Errorf("unpacked %d bytes of %d", len(out), unpacked)
		}
	})
}
