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
        JdBody_Unref(pt->body);
    }
    memset(pt, 0, sizeof(*pt));
}

/* Begins a response, if there is room for it; the head is taken out of the
 * chunk. */
static bool
begin(JdPartial *pt, JdMemory *mm, Jd__Chunk *chunk)
{
    if (pt->head != NULL || chunk->head->id != chunk->id ||
        chunk->total > JD_FRAME_MAX) {
        return false;
    }
    pt->body = JdBody_New(mm);
    if (!JdBody_Reserve(pt->body, JdMemory_ClassOf(chunk->total),
                        chunk->total)) {
        JdBody_Unref(pt->body);
        pt->body = NULL;
        return false;
    }
    pt->head = chunk->head;
    chunk->head = NULL;
    pt->total = chunk->total;
    return true;
}

/* Adds a chunk.  Returns false if it does not fit what came before, or there
 * is no room for the response. */
bool
JdPartial_Add(JdPartial *pt, JdMemory *mm, Jd__Chunk *chunk)
{
    if (chunk->head != NULL && !begin(pt, mm, chunk)) {
        return false;
    }
    if (pt->head == NULL || chunk->body.len > pt->total - pt->body->len) {
        return false;
    }
    return JdBody_Append(pt->body, chunk->body.data, chunk->body.len) &&
           chunk->more == (pt->body->len < pt->total);
}

/* Returns whether no part of the response is missing. */
bool
JdPartial_IsWhole(const JdPartial *pt)
{
    return pt->head != NULL && pt->body->len == pt->total;
}

/* Takes the whole response out, without its body, and the body; the caller
 * frees both. */
Jd__Response *
JdPartial_Take(JdPartial *pt, JdBody **body)
{
    Jd__Response *msg = pt->head;

    *body = pt->body;
    memset(pt, 0, sizeof(*pt));
    return msg;
}
