/*
 * Bodies of requests and answers.  All parts of a process that need a body
 * share one copy, which is freed and given back to the account of the memory
 * when the last one has released it.
 */
#include <stdlib.h>
#include <string.h>

#include "base.h"

/* Room is taken in steps of this size while the length is not known. */
#define STEP_BYTES (64U << 10)
#define MIN_CAPACITY 512U

/* Returns an empty body with one reference. */
JdBody *
JdBody_New(JdMemory *mm)
{
    JdBody *b = g_new0(JdBody, 1);

    b->refs = 1;
    b->memory = mm;
    return b;
}

/* Returns a body that owns `data`, which was allocated with malloc.  Its bytes
 * are charged in any case. */
JdBody *
JdBody_Own(JdMemory *mm, void *data, size_t len)
{
    JdBody *b = JdBody_New(mm);

    b->data = data;
    b->len = len;
    b->capacity = len;
    b->charged = len;
    JdMemory_TakeAnyway(mm, len);
    return b;
}

JdBody *
JdBody_Ref(JdBody *b)
{
    b->refs++;
    return b;
}

/* Releases a reference; NULL is allowed. */
void
JdBody_Unref(JdBody *b)
{
    if (b == NULL || --b->refs > 0) {
        return;
    }
    JdMemory_Give(b->memory, b->charged);
    free(b->data);
    g_free(b);
}

/* Allocates memory.  The kernel provides it when it is written to. */
static void
set_capacity(JdBody *b, size_t n)
{
    b->data = g_realloc(b->data, n);
    b->capacity = n;
}

/* Takes room for a body of `n` bytes, so that appending them succeeds. */
bool
JdBody_Reserve(JdBody *b, JdMemoryClass cls, size_t n)
{
    if (n > b->charged) {
        if (!JdMemory_Take(b->memory, cls, n - b->charged)) {
            return false;
        }
        b->charged = n;
    }
    if (n > b->capacity) {
        set_capacity(b, n);
    }
    return true;
}

/* Takes room for `n` bytes more than there are, a step ahead. */
static bool
charge_growth(JdBody *b, size_t n)
{
    size_t len = b->len + n;
    size_t step = len > STEP_BYTES ? STEP_BYTES : 0;

    if (len <= b->charged) {
        return true;
    }
    if (!JdMemory_Take(b->memory, JdMemory_ClassOf(len),
                       len + step - b->charged)) {
        return false;
    }
    b->charged = len + step;
    return true;
}

/* Appends bytes.  Returns false if there is no room for them. */
bool
JdBody_Append(JdBody *b, const void *data, size_t n)
{
    if (n == 0) {
        return true;
    }
    if (!charge_growth(b, n)) {
        return false;
    }
    if (b->len + n > b->capacity) {
        size_t doubled = b->capacity * 2;

        set_capacity(b, MAX(MAX(doubled, b->len + n), MIN_CAPACITY));
    }
    memcpy(b->data + b->len, data, n);
    b->len += n;
    return true;
}

/* Removes all bytes, and gives back their room. */
void
JdBody_Clear(JdBody *b)
{
    JdMemory_Give(b->memory, b->charged);
    free(b->data);
    b->data = NULL;
    b->len = 0;
    b->capacity = 0;
    b->charged = 0;
}
