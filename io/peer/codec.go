package peer

import (
	"bufio"
	"net/rpc"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"radishwell/wire"
)

// maxMessage bounds one message in bytes. A full delta of a kind, at the size that the
// system is designed for, has less than two megabytes.
const maxMessage = 16 << 20

// codec encodes each call and each reply as two length-prefixed messages: a wire.CallHead
// and the body.
type codec struct {
	conn *meteredConn
	in   *bufio.Reader
	out  *bufio.Writer
	// writeMu keeps the two messages of a call together.
	writeMu sync.Mutex
}

func newCodec(conn *meteredConn) *codec {
	return &codec{conn: conn, in: bufio.NewReader(conn), out: bufio.NewWriter(conn)}
}

// BodyError reports a body that is not a protobuf message.
type BodyError struct{}

// Error implements error.
func (*BodyError) Error() string { return "the body is no protobuf message" }

func (c *codec) write(head *wire.CallHead, body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		if head.GetError() == "" {
			return &BodyError{}
		}
		message = &wire.Empty{}
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if _, err := protodelim.MarshalTo(c.out, head); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(c.out, message); err != nil {
		return err
	}
	return c.out.Flush()
}

func (c *codec) read(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(c.in, m)
}

// readBody reads a body into to, or skips it if to is nil.
func (c *codec) readBody(to any) error {
	if to == nil {
		return c.read(&wire.Empty{})
	}
	message, ok := to.(proto.Message)
	if !ok {
		return &BodyError{}
	}
	return c.read(message)
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// clientCodec is the codec of the calling side.
type clientCodec struct{ *codec }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(&wire.CallHead{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var head wire.CallHead
	if err := c.read(&head); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = head.GetMethod(), head.GetSequence(), head.GetError()
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(to any) error { return c.readBody(to) }

// serverCodec is the codec of the serving side.
type serverCodec struct{ *codec }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var head wire.CallHead
	if err := c.read(&head); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = head.GetMethod(), head.GetSequence()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(to any) error { return c.readBody(to) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(&wire.CallHead{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}, body)
}
