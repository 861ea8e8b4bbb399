/* Large responses that arrive from a target's node in chunks.  A response is
 * handed on as a whole, or not at all. */
#include <string.h>

#include "forward.h"

/* Forgets what has arrived of the response to an attempt. */
void
JdPartial_Clear(JdPartial *pt)
{
    if (pt->head != NULL) {
        jd__response__free_unpacked(pt->head, NULL);
        g_byte_array_free(pt->body, TRUE);
    }
    memset(pt, 0, sizeof(*pt));
}

/* Begins a response; the head is taken out of the chunk. */
static bool
begin(JdPartial *pt, Jd__Chunk *chunk)
{
    if (pt->head != NULL || chunk->head->id != chunk->id ||
        chunk->total > JD_FRAME_MAX) {
        return false;
    }
    pt->head = chunk->head;
    chunk->head = NULL;
    pt->total = chunk->total;
    pt->body = g_byte_array_sized_new((guint)pt->total);
    return true;
}

/* Adds a chunk.  Returns false if it does not fit what came before. */
bool
JdPartial_Add(JdPartial *pt, Jd__Chunk *chunk)
{
    if (chunk->head != NULL && !begin(pt, chunk)) {
        return false;
    }
    if (pt->head == NULL || chunk->body.len > pt->total - pt->body->len) {
        return false;
    }
    g_byte_array_append(pt->body, chunk->body.data, (guint)chunk->body.len);
    return chunk->more == (pt->body->len < pt->total);
}

/* Returns whether no part of the response is missing. */
bool
JdPartial_IsWhole(const JdPartial *pt)
{
    return pt->head != NULL && pt->body->len == pt->total;
}

/* Takes the whole response out; the caller frees it. */
Jd__Response *
JdPartial_Take(JdPartial *pt)
{
    Jd__Response *msg = pt->head;

    msg->body.len = pt->body->len;
    msg->body.data = g_byte_array_free(pt->body, FALSE);
    memset(pt, 0, sizeof(*pt));
    return msg;
}
