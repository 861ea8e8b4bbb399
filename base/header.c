/*
 * Collects the headers of a message from the fragments that an incremental
 * parser delivers.
 */
#include <string.h>

#include <glib.h>

#include "base.h"

/*
 * Initializes an empty set.  The caller may put other data into the buffer
 * before the first header, as the server does with the request target.
 */
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
 * Appends a fragment of a name; the first one after a value begins a new
 * header.  Returns false if there are too many headers.  Ignores trailers,
 * which arrive after JdHeaders_Complete.
 */
bool
JdHeaders_AppendName(JdHeaders *hs, const char *data, size_t n)
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
    g_byte_array_append(hs->buffer, (const guint8 *)data, (guint)n);
    return true;
}

/* Appends a fragment of the value of the last header; ignores trailers. */
void
JdHeaders_AppendValue(JdHeaders *hs, const char *data, size_t n)
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
    g_byte_array_append(hs->buffer, (const guint8 *)data, (guint)n);
}

/*
 * Stores the headers in `out`, an array of JD_HTTP_HEADERS_MAX, and returns
 * their number.  They point into the buffer, so nothing is appended from here
 * on.
 */
size_t
JdHeaders_Complete(JdHeaders *hs, JdHttpHeader *out)
{
    const char *base = (const char *)hs->buffer->data;

    hs->is_complete = true;
    for (size_t i = 0; i < hs->count; i++) {
        out[i].name = base + hs->spans[i].name;
        out[i].name_len = hs->spans[i].name_len;
        out[i].value = base + hs->spans[i].value;
        out[i].value_len = hs->spans[i].value_len;
    }
    return hs->count;
}

/* Returns the first header of that name, in any case, or NULL. */
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

/* Returns whether a character may stand in the name of a header (RFC 9110:
 * tchar). */
static bool
is_name_char(char c)
{
    return g_ascii_isalnum(c) ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Returns whether a character may stand in the value of a header. */
static bool
is_value_char(char c)
{
    return c == '\t' || !g_ascii_iscntrl(c);
}

static bool
is_valid(const JdHttpHeader *h)
{
    for (size_t i = 0; i < h->name_len; i++) {
        if (!is_name_char(h->name[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < h->value_len; i++) {
        if (!is_value_char(h->value[i])) {
            return false;
        }
    }
    return h->name_len > 0;
}

/* Returns whether headers are such as HTTP/1.1 allows.  The parser is lenient:
 * it takes blanks and other bytes in names, and control characters in values.
 */
bool
JdHttpHeader_AreValid(const JdHttpHeader *header, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (!is_valid(&header[i])) {
            return false;
        }
    }
    return true;
}
