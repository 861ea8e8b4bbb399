/*
 * Account of the bytes that a process holds for others: requests, answers and
 * frames that are being received, wait, or are being sent.  What finds no room
 * is refused before it is received.  The last part of the room is kept for
 * small things, so that large ones cannot take all of it.
 */
#include <malloc.h>
#include <string.h>

#include "base.h"

/* What the process needs for itself, in bytes, and the part of its memory that
 * is added for buffers of the kernel and of the allocator. */
#define OWN_BYTES (24U << 20)
#define OVERHEAD_PART 16
/* Least part of the memory that is used for others. */
#define MIN_PART 4
/* Blocks from this size on are given back to the kernel when they are freed.
 */
#define MAPPED_BLOCK_BYTES (128 << 10)

/* Part of the limit that a class leaves free, 0: none. */
static const size_t kept_part[JD_MEMORY_CLASS_MAX] = {
    [JD_MEMORY_FIRST] = 0,
    [JD_MEMORY_FOLLOWING] = 8,
    [JD_MEMORY_LARGE] = 4,
};

/* Makes the allocator give back large blocks, however large the earlier ones
 * were, and the free end of its heap. */
void
JdMemory_ConfigureAllocator(void)
{
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
    mallopt(M_TRIM_THRESHOLD, MAPPED_BLOCK_BYTES);
}

/* Returns the bytes that a process with this memory may hold for others. */
static size_t
limit_for(size_t process_bytes)
{
    size_t own = OWN_BYTES + process_bytes / OVERHEAD_PART;
    size_t least = process_bytes / MIN_PART;

    return process_bytes > own + least ? process_bytes - own : least;
}

/* Initializes the account of a process that may use `process_bytes`. */
void
JdMemory_Init(JdMemory *mm, size_t process_bytes)
{
    memset(mm, 0, sizeof(*mm));
    JdMemory_SetProcessBytes(mm, process_bytes);
}

/* Changes the memory of the process.  What is held stays. */
void
JdMemory_SetProcessBytes(JdMemory *mm, size_t process_bytes)
{
    mm->limit = limit_for(process_bytes);
}

/* Returns the bytes that there is room for.  Without an account there is no
 * limit. */
size_t
JdMemory_Room(const JdMemory *mm, JdMemoryClass cls)
{
    size_t limit;

    if (mm == NULL) {
        return SIZE_MAX;
    }
    limit = JdMemory_ClassLimit(mm, cls);
    return mm->used < limit ? limit - mm->used : 0;
}

/* Returns the bytes that may be held when more of a class are taken. */
size_t
JdMemory_ClassLimit(const JdMemory *mm, JdMemoryClass cls)
{
    if (mm == NULL) {
        return SIZE_MAX;
    }
    return kept_part[cls] == 0 ? mm->limit
                               : mm->limit - mm->limit / kept_part[cls];
}

/* Returns the class of bytes that belong together: of a whole body or frame.
 */
JdMemoryClass
JdMemory_ClassOf(size_t n)
{
    return n > JD_LARGE_BYTES ? JD_MEMORY_LARGE : JD_MEMORY_FIRST;
}

/* Takes room, or returns false. */
bool
JdMemory_Take(JdMemory *mm, JdMemoryClass cls, size_t n)
{
    if (mm == NULL) {
        return true;
    }
    if (n > JdMemory_Room(mm, cls)) {
        if (mm->short_of != NULL) {
            mm->short_of(mm->ctx, cls, n);
        }
        return false;
    }
    mm->used += n;
    return true;
}

/* Takes room for what is held in any case, so that other things get less. */
void
JdMemory_TakeAnyway(JdMemory *mm, size_t n)
{
    if (mm != NULL) {
        mm->used += n;
    }
}

/* Gives room back. */
void
JdMemory_Give(JdMemory *mm, size_t n)
{
    if (mm != NULL) {
        mm->used -= n;
    }
}
