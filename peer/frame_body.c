/*
 * Frames with a large body.  The body of a request or response is the last
 * field of its message where it is large, so that it can be written from where
 * it is.  A frame that was received as a whole gives its memory to the body;
 * the rest of it is unpacked from a copy.
 */
#include <string.h>

#include "frame_body.h"

/* Numbers of the fields in frame.proto that are looked for. */
#define FIELD_ID 1
#define FIELD_REQUEST_BODY 6
#define FIELD_RESPONSE_BODY 4
#define WIRE_VARINT 0
#define WIRE_FIXED64 1
#define WIRE_BYTES 2
#define WIRE_FIXED32 5
#define VARINT_MAX 10

/* A field within a message: where its tag begins and what it holds. */
typedef struct Field {
    unsigned number;
    unsigned type;
    size_t begin;   /* of its tag */
    size_t content; /* begin of its content, where it has a length */
    size_t end;     /* begin of the next field */
    uint64_t value; /* of a varint */
} Field;

/* Reads a varint at `*pos`.  Returns false if it is incomplete. */
static bool
read_varint(const uint8_t *data, size_t n, size_t *pos, uint64_t *out)
{
    uint64_t value = 0;

    for (unsigned i = 0; i < VARINT_MAX && *pos < n; i++) {
        uint8_t byte = data[(*pos)++];

        value |= (uint64_t)(byte & 0x7f) << (7 * i);
        if ((byte & 0x80) == 0) {
            *out = value;
            return true;
        }
    }
    return false;
}

/* Reads the field at `pos`.  Its end may lie beyond `n`, as of a field of
 * which only the start is there.  Returns false if it cannot be read. */
static bool
read_field(const uint8_t *data, size_t n, size_t pos, Field *out)
{
    uint64_t tag, len;

    out->begin = pos;
    if (!read_varint(data, n, &pos, &tag)) {
        return false;
    }
    out->number = (unsigned)(tag >> 3);
    out->type = (unsigned)(tag & 7);
    out->content = pos;
    switch (out->type) {
    case WIRE_VARINT:
        if (!read_varint(data, n, &pos, &out->value)) {
            return false;
        }
        break;
    case WIRE_FIXED64:
        pos += 8;
        break;
    case WIRE_FIXED32:
        pos += 4;
        break;
    case WIRE_BYTES:
        if (!read_varint(data, n, &pos, &len) || len > UINT32_MAX) {
            return false;
        }
        out->content = pos;
        pos += len;
        break;
    default:
        return false;
    }
    out->end = pos;
    return true;
}

/* Finds a field of a message in data[begin..end).  Returns false if there is
 * none. */
static bool
find_field(const uint8_t *data, size_t begin, size_t end, unsigned number,
           Field *out)
{
    while (begin < end && read_field(data, end, begin, out)) {
        if (out->number == number) {
            return true;
        }
        begin = out->end;
    }
    return false;
}

/* Finds the message that a frame carries; Frame.version is not one. */
static bool
find_message(const uint8_t *data, size_t n, Field *out)
{
    size_t pos = 0;

    while (pos < n && read_field(data, n, pos, out)) {
        if (out->type == WIRE_BYTES) {
            return true;
        }
        pos = out->end;
    }
    return false;
}

/* Reads what a frame is from its first bytes. */
void
JdFrameHead_Parse(const uint8_t *data, size_t n, JdFrameHead *out)
{
    Field msg, id;

    out->kind = JD__FRAME__BODY__NOT_SET;
    out->id = 0;
    if (!find_message(data, n, &msg)) {
        return;
    }
    out->kind = (Jd__Frame__BodyCase)msg.number;
    if (find_field(data, msg.content, MIN(msg.end, n), FIELD_ID, &id) &&
        id.type == WIRE_VARINT) {
        out->id = id.value;
    }
}

/* Writes the length in front of a frame of `n` bytes. */
void
JdFrame_PutLength(uint8_t *to, size_t n)
{
    to[0] = (uint8_t)(n >> 24);
    to[1] = (uint8_t)(n >> 16);
    to[2] = (uint8_t)(n >> 8);
    to[3] = (uint8_t)n;
}

static void
append_varint(GByteArray *out, uint64_t value)
{
    while (value >= 0x80) {
        uint8_t byte = (uint8_t)(value | 0x80);

        g_byte_array_append(out, &byte, 1);
        value >>= 7;
    }
    {
        uint8_t byte = (uint8_t)value;

        g_byte_array_append(out, &byte, 1);
    }
}

static void
append_tag(GByteArray *out, unsigned number, unsigned type)
{
    append_varint(out, (uint64_t)number << 3 | type);
}

static size_t
varint_size(uint64_t value)
{
    size_t n = 1;

    while (value >= 0x80) {
        value >>= 7;
        n++;
    }
    return n;
}

static unsigned
body_field(Jd__Frame__BodyCase kind)
{
    return kind == JD__FRAME__BODY_REQUEST ? FIELD_REQUEST_BODY
                                           : FIELD_RESPONSE_BODY;
}

/* Packs the message of a frame, without the body that the message has. */
static GByteArray *
pack_message(const Jd__Frame *frame)
{
    ProtobufCMessage *msg = frame->body_case == JD__FRAME__BODY_REQUEST
                                ? &frame->request->base
                                : &frame->response->base;
    ProtobufCBinaryData *body = frame->body_case == JD__FRAME__BODY_REQUEST
                                    ? &frame->request->body
                                    : &frame->response->body;
    ProtobufCBinaryData kept = *body;
    GByteArray *out = g_byte_array_new();

    body->len = 0;
    body->data = NULL;
    g_byte_array_set_size(out, (guint)protobuf_c_message_get_packed_size(msg));
    protobuf_c_message_pack(msg, out->data);
    *body = kept;
    return out;
}

/*
 * Packs a frame with a request or response, and the length in front of it, up
 * to the body of `body_len` bytes, which is to follow.  What the message has
 * as its body is left out.
 */
GByteArray *
JdFrameBody_Pack(const Jd__Frame *frame, size_t body_len)
{
    GByteArray *msg = pack_message(frame);
    unsigned field = body_field(frame->body_case);
    size_t msg_len = msg->len + varint_size(field << 3 | WIRE_BYTES) +
                     varint_size(body_len) + body_len;
    GByteArray *out = g_byte_array_new();
    size_t n;

    g_byte_array_set_size(out, JD_FRAME_LENGTH_SIZE);
    if (frame->version != 0) {
        append_tag(out, FIELD_ID, WIRE_VARINT);
        append_varint(out, frame->version);
    }
    append_tag(out, frame->body_case, WIRE_BYTES);
    append_varint(out, msg_len);
    g_byte_array_append(out, msg->data, msg->len);
    append_tag(out, field, WIRE_BYTES);
    append_varint(out, body_len);
    n = out->len - JD_FRAME_LENGTH_SIZE + body_len;
    JdFrame_PutLength(out->data, n);
    g_byte_array_unref(msg);
    return out;
}

/* Unpacks a frame without the body of its message. */
static Jd__Frame *
unpack_without(const JdBody *received, const Field *msg, const Field *body)
{
    const uint8_t *data = received->data;
    GByteArray *rest = g_byte_array_new();
    Jd__Frame *frame;

    g_byte_array_append(rest, data, (guint)msg->begin);
    append_tag(rest, msg->number, WIRE_BYTES);
    append_varint(rest, msg->end - msg->content - (body->end - body->begin));
    g_byte_array_append(rest, data + msg->content,
                        (guint)(body->begin - msg->content));
    g_byte_array_append(rest, data + body->end,
                        (guint)(received->len - body->end));
    frame = jd__frame__unpack(NULL, rest->len, rest->data);
    g_byte_array_unref(rest);
    return frame;
}

/*
 * Unpacks a frame.  If it is a request or response with a body, `received`
 * becomes that body and the message has none; otherwise it is left as it is.
 * Returns NULL for a malformed frame.
 */
Jd__Frame *
JdFrameBody_Unpack(JdBody *received, bool *has_body)
{
    Field msg, body;
    Jd__Frame *frame;

    *has_body = false;
    if (!find_message(received->data, received->len, &msg) ||
        msg.end > received->len ||
        (msg.number != JD__FRAME__BODY_REQUEST &&
         msg.number != JD__FRAME__BODY_RESPONSE) ||
        !find_field(received->data, msg.content, msg.end,
                    body_field((Jd__Frame__BodyCase)msg.number), &body) ||
        body.type != WIRE_BYTES || body.end > msg.end) {
        return jd__frame__unpack(NULL, received->len, received->data);
    }
    frame = unpack_without(received, &msg, &body);
    if (frame == NULL) {
        return NULL;
    }
    memmove(received->data, received->data + body.content,
            body.end - body.content);
    received->len = body.end - body.content;
    *has_body = true;
    return frame;
}
