/*
 * Bytes that are to be written to a socket, in order.  Small ones are copied;
 * bodies are referenced until they have been written.
 */
#include <string.h>

#include "base.h"

/* Most pieces in one write. */
#define WRITE_PIECES 16
/* Small bytes are added to the last piece up to this size. */
#define PIECE_BYTES (16U << 10)

struct JdOutputPiece {
    TAILQ_ENTRY(JdOutputPiece) link;
    GByteArray *bytes; /* or NULL */
    JdBody *body;      /* or NULL */
};

void
JdOutput_Init(JdOutput *out, JdMemory *mm)
{
    memset(out, 0, sizeof(*out));
    out->memory = mm;
    TAILQ_INIT(&out->pieces);
}

static size_t
piece_len(const JdOutputPiece *pc)
{
    return pc->bytes != NULL ? pc->bytes->len : pc->body->len;
}

static void
free_first(JdOutput *out)
{
    JdOutputPiece *pc = TAILQ_FIRST(&out->pieces);

    out->size -= piece_len(pc);
    if (pc->bytes != NULL) {
        JdMemory_Give(out->memory, pc->bytes->len);
        g_byte_array_unref(pc->bytes);
    }
    JdBody_Unref(pc->body);
    TAILQ_REMOVE(&out->pieces, pc, link);
    g_free(pc);
}

/* Drops all that is not written.  The socket must be closed. */
void
JdOutput_Finish(JdOutput *out)
{
    while (!TAILQ_EMPTY(&out->pieces)) {
        free_first(out);
    }
    out->writing = 0;
}

/* Returns the piece that small bytes are added to. */
static JdOutputPiece *
piece_for_bytes(JdOutput *out, size_t n)
{
    JdOutputPiece *pc = TAILQ_LAST(&out->pieces, JdOutputPieces);

    if (pc != NULL && pc->bytes != NULL && out->writing == 0 &&
        pc->bytes->len + n <= PIECE_BYTES) {
        return pc;
    }
    pc = g_new0(JdOutputPiece, 1);
    pc->bytes = g_byte_array_new();
    TAILQ_INSERT_TAIL(&out->pieces, pc, link);
    return pc;
}

/* Appends a copy of bytes; they are held in any case. */
void
JdOutput_Append(JdOutput *out, const void *data, size_t n)
{
    JdOutputPiece *pc = piece_for_bytes(out, n);

    g_byte_array_append(pc->bytes, data, (guint)n);
    JdMemory_TakeAnyway(out->memory, n);
    out->size += n;
}

/* Appends a body, which must not change any more; takes a reference. */
void
JdOutput_AppendBody(JdOutput *out, JdBody *b)
{
    JdOutputPiece *pc;

    if (b->len == 0) {
        return;
    }
    pc = g_new0(JdOutputPiece, 1);
    pc->body = JdBody_Ref(b);
    TAILQ_INSERT_TAIL(&out->pieces, pc, link);
    out->size += b->len;
}

/* Writes what there is, unless a write is under way; `on_written` is called
 * when that has been written.  Returns whether a write is under way. */
bool
JdOutput_Write(JdOutput *out, h2o_socket_t *sock, h2o_socket_cb on_written)
{
    h2o_iovec_t iov[WRITE_PIECES];
    JdOutputPiece *pc;
    size_t n = 0;

    if (out->writing > 0) {
        return true;
    }
    TAILQ_FOREACH(pc, &out->pieces, link)
    {
        if (n == WRITE_PIECES) {
            break;
        }
        iov[n++] = pc->bytes != NULL
                       ? h2o_iovec_init(pc->bytes->data, pc->bytes->len)
                       : h2o_iovec_init(pc->body->data, pc->body->len);
    }
    if (n == 0) {
        return false;
    }
    out->writing = n;
    h2o_socket_write(sock, iov, n, on_written);
    return true;
}

/* Frees what the last write has written; to be called by `on_written`. */
void
JdOutput_Written(JdOutput *out)
{
    while (out->writing > 0) {
        out->writing--;
        free_first(out);
    }
}
