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
    hs->texts = g_byte_array_new();
    hs->is_value = true;
}

/* Empties a set. */
void
JdHeaders_Reset(JdHeaders *hs)
{
    g_byte_array_set_size(hs->texts, 0);
    hs->count = 0;
    hs->is_value = true;
    hs->is_taken = false;
}

/* Releases a set. */
void
JdHeaders_Finish(JdHeaders *hs)
{
    g_byte_array_unref(hs->texts);
}

/*
 * Adds a piece of a name.  Returns false when there are too many headers.
 * Trailers, which come after the headers were taken, are left out.
 */
bool
JdHeaders_AddName(JdHeaders *hs, const char *at, size_t n)
{
    JdHeaderAt *h;

    if (hs->is_taken) {
        return true;
    }
    if (hs->is_value) {
        if (hs->count == JD_HTTP_HEADERS_MAX) {
            return false;
        }
        h = &hs->at[hs->count++];
        memset(h, 0, sizeof(*h));
        h->name = hs->texts->len;
        hs->is_value = false;
    }
    h = &hs->at[hs->count - 1];
    h->name_len += n;
    g_byte_array_append(hs->texts, (const guint8 *)at, (guint)n);
    return true;
}

/* Adds a piece of the value that belongs to the last name. */
void
JdHeaders_AddValue(JdHeaders *hs, const char *at, size_t n)
{
    JdHeaderAt *h;

    if (hs->is_taken) {
        return;
    }
    h = &hs->at[hs->count - 1];
    if (!hs->is_value) {
        h->value = hs->texts->len;
        hs->is_value = true;
    }
    h->value_len += n;
    g_byte_array_append(hs->texts, (const guint8 *)at, (guint)n);
}

/*
 * Fills the headers, which point into the texts of the set: nothing is added
 * any more.  Returns how many there are.
 */
size_t
JdHeaders_Take(JdHeaders *hs, JdHttpHeader *out)
{
    const char *texts = (const char *)hs->texts->data;

    hs->is_taken = true;
    for (size_t i = 0; i < hs->count; i++) {
        out[i].name = texts + hs->at[i].name;
        out[i].name_len = hs->at[i].name_len;
        out[i].value = texts + hs->at[i].value;
        out[i].value_len = hs->at[i].value_len;
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
