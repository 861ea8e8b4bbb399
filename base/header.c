/*
 * Headers of one message, as the parser brings them piece by piece, and as
 * they are read afterwards.
 */
#include <string.h>

#include <glib.h>

#include "base.h"

/* Initializes an empty set; texts put in before headers stay in front. */
void
JdHeaders_Init(JdHeaders *hs)
{
    memset(hs, 0, sizeof(*hs));
    hs->buffer = g_byte_array_new();
    hs->last_was_value = true;
}

/* Empties a set. */
void
JdHeaders_Reset(JdHeaders *hs)
{
    g_byte_array_set_size(hs->buffer, 0);
    hs->count = 0;
    hs->last_was_value = true;
    hs->is_complete = false;
}

/* Releases a set. */
void
JdHeaders_Finish(JdHeaders *hs)
{
    g_byte_array_unref(hs->buffer);
}

/*
 * Adds a piece of a name.  Returns false when there are too many headers.
 * Trailers, which come after the headers were taken, are left out.
 */
bool
JdHeaders_AppendName(JdHeaders *hs, const char *at, size_t n)
{
    JdHeaderSpan *h;

    if (hs->is_complete) {
        return true;
    }
    if (hs->last_was_value) {
        if (hs->count == JD_HTTP_HEADERS_MAX) {
            return false;
        }
        h = &hs->spans[hs->count++];
        memset(h, 0, sizeof(*h));
        h->name = hs->buffer->len;
        hs->last_was_value = false;
    }
    h = &hs->spans[hs->count - 1];
    h->name_len += n;
    g_byte_array_append(hs->buffer, (const guint8 *)at, (guint)n);
    return true;
}

/* Adds a piece of the value that belongs to the last name. */
void
JdHeaders_AppendValue(JdHeaders *hs, const char *at, size_t n)
{
    JdHeaderSpan *h;

    if (hs->is_complete) {
        return;
    }
    h = &hs->spans[hs->count - 1];
    if (!hs->last_was_value) {
        h->value = hs->buffer->len;
        hs->last_was_value = true;
    }
    h->value_len += n;
    g_byte_array_append(hs->buffer, (const guint8 *)at, (guint)n);
}

/*
 * Fills the headers, which point into the texts of the set: nothing is added
 * any more.  Returns how many there are.
 */
size_t
JdHeaders_Complete(JdHeaders *hs, JdHttpHeader *out)
{
    const char *texts = (const char *)hs->buffer->data;

    hs->is_complete = true;
    for (size_t i = 0; i < hs->count; i++) {
        out[i].name = texts + hs->spans[i].name;
        out[i].name_len = hs->spans[i].name_len;
        out[i].value = texts + hs->spans[i].value;
        out[i].value_len = hs->spans[i].value_len;
    }
    return hs->count;
}

/* Returns the first header of that name, or NULL. */
const JdHttpHeader *
JdHttpHeader_Find(const JdHttpHeader *header, size_t n, const char *name)
{
    size_t len = strlen(name);

    for (size_t i = 0; i < n; i++) {
        if (header[i].name_len == len &&
            g_ascii_strncasecmp(header[i].name, name, len) == 0) {
            return &header[i];
        }
    }
    return NULL;
}
